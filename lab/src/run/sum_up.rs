//! Computes the results of a play.
use crate::draw::{Plan, PlannedFault};
use crate::experiment::{Experiment, FaultKind, Millis};
use crate::fleet::Fleet;
use crate::metrics::{
    missed, name_of, recovery, request_metrics, traffic, Case, Datagrams, Lateness, Played,
    RequestMetrics, ResourceUsage, Tier,
};
use crate::net::lock;
use crate::tally::Tally;
use crate::world::World;
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

/// Clock ticks per second of CPU time on this platform.
const TICKS_PER_SECOND: f64 = 100.0;

/// The datagram rates between balancers, as the mean of one balancer.
fn peer_traffic(world: &World) -> Datagrams {
    let (sent, bytes) = world.datagrams.sent();
    let over = world.plan.balancers.len() as f64 * world.plan.length / 1000.0;
    Datagrams {
        a_second: sent as f64 / over,
        bytes_a_second: bytes as f64 / over,
    }
}

/// The peer metrics that balancers reported. Convergence times are those of the front tier.
fn tier(fleet: &Fleet) -> Option<Tier> {
    let reports: Vec<_> = fleet
        .balancers
        .iter()
        .filter_map(|p| p.read_metrics())
        .filter_map(|f| f.tier())
        .collect();
    if reports.is_empty() {
        return None;
    }
    let (members, sums) = lock(&fleet.world.convergence)
        .first()
        .map(|c| c.known())
        .unwrap_or_default();
    Some(Tier {
        members,
        sums,
        suspected: reports.iter().map(|t| t.suspected).sum(),
        departed: reports.iter().map(|t| t.departed).sum(),
        steps: reports.iter().map(|t| t.steps).sum(),
    })
}

/// The lateness of the lab itself.
fn lateness(world: &World) -> Lateness {
    let experiment = &world.experiment;
    let late = world.clock.lateness();
    let bound = (experiment.lateness_most.0.mean() * 1000.0) as u64;
    let over = if late.is_empty() {
        0.0
    } else {
        1.0 - late.percentile_below(bound) / 100.0
    };
    Lateness {
        p50_ms: late.value_at_quantile(0.5) as f64 / 1000.0,
        p99_ms: late.value_at_quantile(0.99) as f64 / 1000.0,
        most_ms: late.max() as f64 / 1000.0,
        over,
        counts: over <= experiment.late_share,
    }
}

/// Metrics by class, tenant and zone.
fn by_part(
    experiment: &Experiment,
    plan: &Plan,
    tally: &Tally,
) -> BTreeMap<String, RequestMetrics> {
    let mut by = BTreeMap::new();
    for (i, class) in experiment.classes.iter().enumerate() {
        by.insert(
            format!("class {}", class.name),
            request_metrics(experiment, plan, &tally.completed, |d| d.class == i),
        );
    }
    for (i, tenant) in experiment.tenants.iter().enumerate() {
        by.insert(
            format!("tenant {}", tenant.name),
            request_metrics(experiment, plan, &tally.completed, |d| d.tenant == i),
        );
    }
    for (i, zone) in experiment.fleet.zones.iter().enumerate() {
        by.insert(
            format!("zone {zone}"),
            request_metrics(experiment, plan, &tally.completed, |d| d.zone == i),
        );
    }
    by
}

/// The maximum resource usage of each balancer.
fn usage(fleet: &Fleet) -> Vec<ResourceUsage> {
    let balancers = fleet.balancers.iter().zip(&fleet.world.plan.balancers);
    balancers
        .map(|(process, planned)| ResourceUsage {
            name: planned.name.clone(),
            memory_kb: process.max_memory_kb.load(Ordering::Relaxed),
            descriptors: process.max_descriptors.load(Ordering::Relaxed),
            cpu_s: process.cpu_ticks.load(Ordering::Relaxed) as f64 / TICKS_PER_SECOND,
        })
        .collect()
}

/// The start, the end and the kind of each fault.
fn fault_spans(plan: &Plan) -> Vec<(Millis, Millis, String)> {
    let span = |fault: &PlannedFault| {
        let until = if fault.kind == FaultKind::Reset {
            fault.at
        } else {
            fault.until
        };
        (fault.at, until, name_of(fault.kind))
    };
    plan.faults.iter().map(span).collect()
}

/// Computes the results of a play.
pub(super) fn sum_up(
    fleet: &Fleet,
    (name, command): (&str, &str),
    number: usize,
    stopped: bool,
) -> Played {
    let world = &fleet.world;
    let (experiment, plan) = (&world.experiment, &world.plan);

    let tally = lock(&world.tally).clone();
    let oracle = lock(&world.oracle);
    let (broken, counts) = oracle.violations();
    Played {
        program: name.into(),
        command: command.into(),
        play: number,
        seed: plan.seed,
        metrics: request_metrics(experiment, plan, &tally.completed, |_| true),
        by: by_part(experiment, plan, &tally),
        traffic: traffic(&tally),
        datagrams: peer_traffic(world),
        tier: tier(fleet),
        recovery: recovery(experiment, plan, &tally),
        lateness: lateness(world),
        broken: broken.iter().map(Case::from).collect(),
        counts: counts
            .iter()
            .map(|(rule, n)| (name_of(*rule), *n))
            .collect(),
        checked: oracle.checked(),
        effects_twice: oracle.effects_twice(),
        missed: if stopped {
            Vec::new()
        } else {
            missed(experiment, plan, &tally)
        },
        usage: usage(fleet),
        stopped,
        faults: fault_spans(plan),
        tally,
    }
}
