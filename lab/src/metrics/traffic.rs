//! Traffic between machines.
use crate::convergence::ConvergenceTimes;
use crate::experiment::Experiment;
use crate::tally::{SecondCounts, Tally};
use serde::{Deserialize, Serialize};

/// Traffic between machines per request due.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Attempts at all tiers.
    pub attempts: f64,
    /// Attempts at all tiers per first attempt.
    #[serde(default)]
    pub attempts_a_first: f64,
    /// Attempts across zones.
    pub crossings: f64,
    /// New connections to upstreams.
    pub connections: f64,
    /// Attempts rejected by full upstreams.
    pub declined: f64,
    /// Fraction of upstream work that did not lead to a response.
    pub wasted: f64,
}

/// Returns the traffic of a complete run.
pub fn traffic(tally: &Tally) -> Traffic {
    let due = tally.completed.len().max(1) as f64;
    let sum = |of: fn(&SecondCounts) -> f64| tally.seconds.iter().map(of).sum::<f64>();
    Traffic {
        attempts_a_first: attempts(tally.seconds.iter()),
        attempts: sum(|s| s.attempts.iter().sum::<u64>() as f64) / due,
        crossings: sum(|s| s.cross_zone_attempts as f64) / due,
        connections: sum(|s| s.connections as f64) / due,
        declined: sum(|s| s.declined as f64) / due,
        wasted: sum(|s| s.wasted) / sum(|s| s.worked).max(1.0),
    }
}

/// Returns the number of attempts per first attempt.
pub(super) fn attempts<'a>(seconds: impl Iterator<Item = &'a SecondCounts>) -> f64 {
    let (all, first_attempts) = seconds.fold((0, 0), |(all, first_attempts), s| {
        (
            all + s.attempts.iter().sum::<u64>(),
            first_attempts + s.first_attempts,
        )
    });
    all as f64 / first_attempts.max(1) as f64
}

/// Returns Jain's fairness index of the time that tenants' attempts spent at upstreams, each divided by the tenant's
/// share: 1 if all are equal, and 1/n if one of n tenants has everything.
pub fn jain<'a>(experiment: &Experiment, seconds: impl Iterator<Item = &'a SecondCounts>) -> f64 {
    let mut upstream_time = vec![0.0; experiment.tenants.len()];
    for second in seconds {
        upstream_time
            .iter_mut()
            .zip(&second.upstream_time)
            .for_each(|(sum, ms)| *sum += ms);
    }
    let each: Vec<f64> = upstream_time
        .iter()
        .zip(&experiment.tenants)
        .map(|(ms, tenant)| ms / tenant.share)
        .collect();
    let (sum, squares) = each
        .iter()
        .fold((0.0, 0.0), |(sum, squares), x| (sum + x, squares + x * x));
    sum * sum / (each.len() as f64 * squares)
}

/// Datagrams between balancers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Datagrams {
    /// Mean number of datagrams that a balancer sent per second.
    pub a_second: f64,
    /// Mean number of bytes of these datagrams per second.
    pub bytes_a_second: f64,
}

/// What balancers reported about their tier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tier {
    /// Time until front balancers knew which of them are up.
    pub members: ConvergenceTimes,
    /// Time until their load sums included all of them.
    pub sums: ConvergenceTimes,
    /// Number of members newly suspected, over the last start of each balancer.
    pub suspected: u64,
    /// Number of members declared departed, over the last start of each balancer.
    #[serde(rename = "gone")]
    pub departed: u64,
    /// Number of changes of the protocol version sent, over the last start of each balancer.
    pub steps: u64,
}
