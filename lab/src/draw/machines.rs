//! Draws the upstreams of each tier, and derives the balancers.
use super::parts::{Balancer, OverloadModel, Upstream};
use super::streams::{draw, draw_span};
use crate::experiment::{Experiment, Kind};
use rand_pcg::Pcg64Mcg;

pub(super) fn draw_tier(
    experiment: &Experiment,
    t: usize,
    rng: &mut Pcg64Mcg,
    upstreams: &mut Vec<Upstream>,
) {
    let (tier, zones) = (&experiment.tiers[t], experiment.fleet.zones.len());

    let mut in_zone = vec![0usize; zones];
    for (n, kind) in assign_kinds(&tier.kinds, tier.upstreams)
        .into_iter()
        .enumerate()
    {
        let zone = n % zones;
        // Cells never span zones: each zone has its own cell numbers.
        let cell = (in_zone[zone] / tier.cell) * zones + zone;
        in_zone[zone] += 1;

        let k = &tier.kinds[kind];
        let c = &tier.connections;
        upstreams.push(Upstream {
            name: format!("{}-{}", tier.name, n + 1),
            tier: t,
            zone,
            kind,
            cell: u16::try_from(cell + 1).unwrap_or(u16::MAX),
            cores: k.cores,
            speed: draw(rng, k.speed),
            slots: (draw(rng, k.slots) * k.cores as f64).round().max(1.0) as usize,
            queue: (draw(rng, k.queue) * k.cores as f64).round() as usize,
            slow_start_from: draw(rng, k.slow_start_from),
            slow_start_time: draw_span(rng, k.slow_start_time),
            errors: draw(rng, k.errors),
            cancel_stops: k.cancel_stops,
            connections: (draw(rng, c.cap) * k.cores as f64).round().max(1.0) as usize,
            round_trips: draw(rng, c.round_trips).round(),
            connection_work: draw(rng, c.work),
            full_tax: draw(rng, c.full_tax),
            report_period: draw_span(rng, tier.report.period).max(1.0),
            report_delay: draw_span(rng, tier.report.delay),
            overload: tier.overload.as_ref().map(|c| OverloadModel {
                at: c.at,
                over: draw_span(rng, c.over),
                slower: draw(rng, c.slower).max(1.0),
                rest: draw_span(rng, c.rest),
                below: c.below,
                most: draw_span(rng, c.most),
            }),
        });
    }
}

/// Assigns a kind to each of `count` machines, in proportion to the shares and interleaved.
fn assign_kinds(kinds: &[Kind], count: usize) -> Vec<usize> {
    let total: f64 = kinds.iter().map(|k| k.share).sum();
    let mut assigned = vec![0.0; kinds.len()];
    (0..count)
        .map(|n| {
            let pending = |k: usize| kinds[k].share / total * (n + 1) as f64 - assigned[k];
            let next = (0..kinds.len())
                .max_by(|&a, &b| pending(a).total_cmp(&pending(b)))
                .unwrap_or(0);
            assigned[next] += 1.0;
            next
        })
        .collect()
}

pub(super) fn balancers(experiment: &Experiment, upstreams: &[Upstream]) -> Vec<Balancer> {
    let zones = experiment.fleet.zones.len();
    let mut all: Vec<Balancer> = (0..experiment.fleet.front)
        .map(|n| Balancer {
            name: format!("front-{}", n + 1),
            zone: n % zones,
            tier: 0,
            index: n,
            owner: None,
            build: None,
        })
        .collect();
    let mut index = vec![0; experiment.tiers.len() + 1];
    for (i, u) in upstreams
        .iter()
        .enumerate()
        .filter(|(_, u)| u.tier + 1 < experiment.tiers.len())
    {
        let tier = u.tier + 1;
        all.push(Balancer {
            name: format!("beside-{}", u.name),
            zone: u.zone,
            tier,
            index: index[tier],
            owner: Some(i),
            build: None,
        });
        index[tier] += 1;
    }
    all
}
