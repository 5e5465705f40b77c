//! The whole plan of a seed.
use super::error::PlanError;
use super::faults::{draw_builds, draw_faults, Population};
use super::machines::{balancers, draw_tier};
use super::parts::{Plan, Upstream};
use super::requests::{draw_requests, Rates};
use super::streams::{draw, draw_span, stream, Stream};
use crate::experiment::Experiment;

/// Draws a plan.
///
/// # Errors
/// What the values of the experiment together do not allow.
#[expect(clippy::too_many_lines, reason = "not split yet: docs/OPEN.md")]
pub fn plan(e: &Experiment, seed: u64) -> Result<Plan, PlanError> {
    let machines = &mut stream(seed, Stream::Machines);
    let mut upstreams: Vec<Upstream> = Vec::new();
    for t in 0..e.tiers.len() {
        draw_tier(e, t, machines, &mut upstreams);
    }
    let mut balancers = balancers(e, &upstreams);

    let net = &mut stream(seed, Stream::Net);
    let same_zone = draw_span(net, e.net.same_zone);
    let mut cross_zone = vec![vec![same_zone; e.fleet.zones.len()]; e.fleet.zones.len()];
    let pairs = (0..e.fleet.zones.len()).flat_map(|a| (0..a).map(move |b| (a, b)));
    for (a, b) in pairs {
        let apart = match (e.fleet.region(a), e.fleet.region(b)) {
            (Some(a), Some(b)) => a != b,
            _ => false,
        };
        let span = draw_span(
            net,
            if apart {
                e.net.cross_region
            } else {
                e.net.cross_zone
            },
        );
        (cross_zone[a][b], cross_zone[b][a]) = (span, span);
    }

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
    let capacity: Vec<f64> = (0..e.tiers.len())
        .map(|t| {
            let speed: f64 = upstreams
                .iter()
                .filter(|u| u.tier == t)
                .map(|u| u.cores as f64 * u.speed)
                .sum();
            speed * 1000.0 / (mean_work * e.tiers[t].work * calls[t])
        })
        .collect();
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

    let population = Population::new(e, &upstreams, &balancers);
    let faults = draw_faults(e, seed, &population, length);
    let builds = draw_builds(e, seed, &population);
    balancers
        .iter_mut()
        .zip(builds)
        .for_each(|(b, build)| b.build = build);
    let rates = Rates {
        shared: rate,
        weakest,
    };
    let arrivals = draw_requests(e, seed, rates, length, &works, &faults)?;
    Ok(Plan {
        seed,
        length,
        upstreams,
        balancers,
        arrivals,
        faults,
        same_zone,
        cross_zone,
        quotas,
        calls,
        capacity,
        spans,
    })
}
