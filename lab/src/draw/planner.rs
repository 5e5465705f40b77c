//! Draws a complete plan from a seed.
use super::error::PlanError;
use super::faults::{draw_builds, draw_faults, Population};
use super::machines::{balancers, draw_tier};
use super::parts::{Plan, Upstream};
use super::requests::{draw_requests, Rates};
use super::streams::{draw, draw_span, stream, Stream};
use crate::experiment::{Experiment, Millis};

/// Draws a plan.
///
/// # Errors
/// Returns an error if the values of the experiment do not allow a plan.
pub fn plan(experiment: &Experiment, seed: u64) -> Result<Plan, PlanError> {
    let machines = &mut stream(seed, Stream::Machines);
    let mut upstreams: Vec<Upstream> = Vec::new();
    for t in 0..experiment.tiers.len() {
        draw_tier(experiment, t, machines, &mut upstreams);
    }
    let mut balancers = balancers(experiment, &upstreams);

    let (same_zone, cross_zone) = draw_delays(experiment, seed);

    let load = draw_load(experiment, seed, &upstreams)?;

    let population = Population::new(experiment, &upstreams, &balancers);
    let faults = draw_faults(experiment, seed, &population, load.length);
    let builds = draw_builds(experiment, seed, &population);
    balancers
        .iter_mut()
        .zip(builds)
        .for_each(|(b, build)| b.build = build);
    let rates = Rates {
        shared: load.rate,
        weakest: load.weakest,
    };
    let arrivals = draw_requests(experiment, seed, rates, load.length, &load.works, &faults)?;
    Ok(Plan {
        seed,
        length: load.length,
        upstreams,
        balancers,
        arrivals,
        faults,
        same_zone,
        cross_zone,
        quotas: load.quotas,
        calls: load.calls,
        capacity: load.capacity,
        spans: load.spans,
    })
}

/// Draws the one-way delays within a zone and between each pair of zones.
fn draw_delays(experiment: &Experiment, seed: u64) -> (Millis, Vec<Vec<Millis>>) {
    let net = &mut stream(seed, Stream::Net);
    let same_zone = draw_span(net, experiment.net.same_zone);
    let mut cross_zone =
        vec![vec![same_zone; experiment.fleet.zones.len()]; experiment.fleet.zones.len()];
    let pairs = (0..experiment.fleet.zones.len()).flat_map(|a| (0..a).map(move |b| (a, b)));
    for (a, b) in pairs {
        let different_regions = match (experiment.fleet.region(a), experiment.fleet.region(b)) {
            (Some(a), Some(b)) => a != b,
            _ => false,
        };
        let span = if different_regions {
            experiment.net.cross_region
        } else {
            experiment.net.cross_zone
        };
        let delay = draw_span(net, span);
        (cross_zone[a][b], cross_zone[b][a]) = (delay, delay);
    }
    (same_zone, cross_zone)
}

/// Returns the capacity of each tier after slow start, in client requests per second, from the mean work of a request
/// and the mean number of calls to each tier.
fn capacity(
    experiment: &Experiment,
    upstreams: &[Upstream],
    mean_work: f64,
    calls: &[f64],
) -> Vec<f64> {
    let of_tier = |t: usize| {
        let speed: f64 = upstreams
            .iter()
            .filter(|u| u.tier == t)
            .map(|u| u.cores as f64 * u.speed)
            .sum();
        speed * 1000.0 / (mean_work * experiment.tiers[t].work * calls[t])
    };
    (0..experiment.tiers.len()).map(of_tier).collect()
}

/// Offered load and capacity of the tiers.
struct Load {
    length: Millis,
    /// Mean work of a request of each class.
    works: Vec<f64>,
    /// Mean number of calls to each tier per request.
    calls: Vec<f64>,
    /// Capacity of each tier after slow start, in client requests per second.
    capacity: Vec<f64>,
    /// The lowest of these capacities.
    weakest: f64,
    /// Requests per second of all tenants without their own rate.
    rate: f64,
    quotas: Vec<f64>,
    /// Latency target and deadline of each class.
    spans: Vec<(Millis, Millis)>,
}

fn draw_load(
    experiment: &Experiment,
    seed: u64,
    upstreams: &[Upstream],
) -> Result<Load, PlanError> {
    let load = &mut stream(seed, Stream::Load);
    let mut calls = vec![1.0];
    for tier in &experiment.tiers[..experiment.tiers.len() - 1] {
        let mean = draw(load, tier.calls);
        calls.push(calls[calls.len() - 1] * mean);
    }
    let shares: f64 = experiment.classes.iter().map(|c| c.share).sum();
    let works: Vec<f64> = experiment
        .classes
        .iter()
        .map(|c| draw(load, c.work))
        .collect();
    let mean_work: f64 = experiment
        .classes
        .iter()
        .zip(&works)
        .map(|(c, w)| c.share / shares * w)
        .sum();
    let capacity = capacity(experiment, upstreams, mean_work, &calls);
    let weakest = capacity.iter().copied().fold(f64::INFINITY, f64::min);
    let rate = match (experiment.clients.rate, experiment.clients.load) {
        (Some(rate), _) => draw(load, rate),
        (None, Some(part)) => draw(load, part) * weakest,
        (None, None) => return Err(PlanError::NoRate),
    };
    let quota = draw(load, experiment.clients.quota) * weakest;
    let tenant_shares: f64 = experiment.tenants.iter().map(|t| t.share).sum();
    let quotas = experiment
        .tenants
        .iter()
        .map(|t| quota * t.share / tenant_shares)
        .collect();
    let spans = experiment
        .classes
        .iter()
        .map(|c| {
            let latency_target = draw_span(load, c.latency_target);
            (
                latency_target,
                draw_span(load, c.deadline).max(latency_target),
            )
        })
        .collect();
    let length = draw_span(load, experiment.length);
    Ok(Load {
        length,
        works,
        calls,
        capacity,
        weakest,
        rate,
        quotas,
        spans,
    })
}
