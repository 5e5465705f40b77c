//! What passed between machines.
use crate::convergence::Known;
use crate::experiment::Experiment;
use crate::tally::{Second, Tally};
use serde::{Deserialize, Serialize};

/// What passed between machines, for each request due.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Attempts at all tiers.
    pub attempts: f64,
    /// Attempts at all tiers for each first attempt there.
    #[serde(default)]
    pub attempts_a_first: f64,
    /// Of these, between zones.
    pub crossings: f64,
    /// New connections to upstreams.
    pub connections: f64,
    /// Attempts turned away by full upstreams.
    pub declined: f64,
    /// Part of the work that no answer came of.
    pub wasted: f64,
}

/// What passed in a whole run.
pub fn traffic(tally: &Tally) -> Traffic {
    let due = tally.done.len().max(1) as f64;
    let sum = |of: fn(&Second) -> f64| tally.seconds.iter().map(of).sum::<f64>();
    Traffic {
        attempts_a_first: attempts(tally.seconds.iter()),
        attempts: sum(|s| s.attempts.iter().sum::<u64>() as f64) / due,
        crossings: sum(|s| s.crossings as f64) / due,
        connections: sum(|s| s.connections as f64) / due,
        declined: sum(|s| s.declined as f64) / due,
        wasted: sum(|s| s.wasted) / sum(|s| s.worked).max(1.0),
    }
}

/// Attempts for each first attempt.
pub(super) fn attempts<'a>(seconds: impl Iterator<Item = &'a Second>) -> f64 {
    let (all, firsts) = seconds.fold((0, 0), |(all, firsts), s| {
        (all + s.attempts.iter().sum::<u64>(), firsts + s.firsts)
    });
    all as f64 / firsts.max(1) as f64
}

/// Jain's index of the time that tenants' attempts spent at upstreams, each over its share: 1 where all have the same
/// for their share, and one over their number where one has everything.
pub fn jain<'a>(e: &Experiment, seconds: impl Iterator<Item = &'a Second>) -> f64 {
    let mut upstream_time = vec![0.0; e.tenants.len()];
    for second in seconds {
        upstream_time
            .iter_mut()
            .zip(&second.upstream_time)
            .for_each(|(sum, ms)| *sum += ms);
    }
    let each: Vec<f64> = upstream_time
        .iter()
        .zip(&e.tenants)
        .map(|(ms, t)| ms / t.share)
        .collect();
    let (sum, squares) = each
        .iter()
        .fold((0.0, 0.0), |(sum, squares), x| (sum + x, squares + x * x));
    sum * sum / (each.len() as f64 * squares)
}

/// What balancers sent to each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Datagrams {
    /// Datagrams that a balancer sent in a second, in the mean.
    pub a_second: f64,
    /// Bytes of them.
    pub bytes_a_second: f64,
}

/// What balancers reported of their tier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tier {
    /// Until balancers at the front knew who of them is up.
    pub members: Known,
    /// Until their sums had all of them.
    pub sums: Known,
    /// Others newly suspected, and taken for gone, and changes of the version spoken, over all balancers' last starts.
    pub suspected: u64,
    /// See there.
    #[serde(rename = "gone")]
    pub departed: u64,
    /// See there.
    pub steps: u64,
}
