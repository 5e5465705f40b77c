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
pub fn plan(e: &Experiment, seed: u64) -> Result<Plan, PlanError> {
    let machines = &mut stream(seed, Stream::Machines);
    let mut upstreams: Vec<Upstream> = Vec::new();
    for t in 0..e.tiers.len() {
        draw_tier(e, t, machines, &mut upstreams);
    }
    let mut balancers = balancers(e, &upstreams);

    let (same_zone, cross_zone) = draw_delays(e, seed);

    let load = draw_load(e, seed, &upstreams)?;

    let population = Population::new(e, &upstreams, &balancers);
    let faults = draw_faults(e, seed, &population, load.length);
    let builds = draw_builds(e, seed, &population);
    balancers
        .iter_mut()
        .zip(builds)
        .for_each(|(b, build)| b.build = build);
    let rates = Rates {
        shared: load.rate,
        weakest: load.weakest,
    };
    let arrivals = draw_requests(e, seed, rates, load.length, &load.works, &faults)?;
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
fn draw_delays(e: &Experiment, seed: u64) -> (Millis, Vec<Vec<Millis>>) {
    let net = &mut stream(seed, Stream::Net);
    let same_zone = draw_span(net, e.net.same_zone);
    let mut cross_zone = vec![vec![same_zone; e.fleet.zones.len()]; e.fleet.zones.len()];
    let pairs = (0..e.fleet.zones.len()).flat_map(|a| (0..a).map(move |b| (a, b)));
    for (a, b) in pairs {
        let different_regions = match (e.fleet.region(a), e.fleet.region(b)) {
            (Some(a), Some(b)) => a != b,
            _ => false,
        };
        let span = if different_regions {
            e.net.cross_region
        } else {
            e.net.cross_zone
        };
        let delay = draw_span(net, span);
        (cross_zone[a][b], cross_zone[b][a]) = (delay, delay);
    }
    (same_zone, cross_zone)
}

/// Returns the capacity of each tier after slow start, in client requests per second, from the mean work of a request
/// and the mean number of calls to each tier.
fn capacity(e: &Experiment, upstreams: &[Upstream], mean_work: f64, calls: &[f64]) -> Vec<f64> {
    let of_tier = |t: usize| {
        let speed: f64 = upstreams
            .iter()
            .filter(|u| u.tier == t)
            .map(|u| u.cores as f64 * u.speed)
            .sum();
        speed * 1000.0 / (mean_work * e.tiers[t].work * calls[t])
    };
    (0..e.tiers.len()).map(of_tier).collect()
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

fn draw_load(e: &Experiment, seed: u64, upstreams: &[Upstream]) -> Result<Load, PlanError> {
    let load = &mut stream(seed, Stream::Load);
    let mut calls = vec![1.0];
    for tier in &e.tiers[..e.tiers.len() - 1] {
        let mean = draw(load, tier.calls);
        calls.push(calls[calls.len() - 1] * mean);
    }
    let shares: f64 = e.classes.iter().map(|c| c.share).sum();
    let works: Vec<f64> = e.classes.iter().map(|c| draw(load, c.work)).collect();
    let mean_work: f64 = e
        .classes
        .iter()
        .zip(&works)
        .map(|(c, w)| c.share / shares * w)
        .sum();
    let capacity = capacity(e, upstreams, mean_work, &calls);
    let weakest = capacity.iter().copied().fold(f64::INFINITY, f64::min);
    let rate = match (e.clients.rate, e.clients.load) {
        (Some(rate), _) => draw(load, rate),
        (None, Some(part)) => draw(load, part) * weakest,
        (None, None) => return Err(PlanError::NoRate),
    };
    let quota = draw(load, e.clients.quota) * weakest;
    let tenant_shares: f64 = e.tenants.iter().map(|t| t.share).sum();
    let quotas = e
        .tenants
        .iter()
        .map(|t| quota * t.share / tenant_shares)
        .collect();
    let spans = e
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
    let length = draw_span(load, e.length);
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
