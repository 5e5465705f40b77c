//! Calls from all balancers to upstreams in slow start, compared with their budget in every sliding window.
mod common;

use balancer_core::*;
use common::slow_start::*;

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
struct FleetSize {
    balancers: usize,
    upstreams: u64,
    /// Capacity of an upstream after slow start, in calls per second.
    capacity: f64,
}

const fn fleet(balancers: usize, upstreams: u64, capacity: f64) -> FleetSize {
    FleetSize {
        balancers,
        upstreams,
        capacity,
    }
}

const FLEETS: [FleetSize; 8] = [
    fleet(1, 8, 40.0),
    fleet(2, 8, 40.0),
    fleet(4, 8, 40.0),
    fleet(12, 8, 40.0),
    fleet(45, 8, 20.0),
    fleet(100, 8, 40.0),
    fleet(300, 8, 40.0),
    fleet(300, 30, 20.0),
];

/// A scenario variant: its name and its change to the default scenario.
type Variant = (&'static str, fn(&mut Scenario));

const SCENARIOS: [Variant; 20] = [
    ("usual load", |_| {}),
    ("overload", |scenario| scenario.load = |_| 2.0),
    ("burst", |scenario| {
        scenario.load = |t| {
            if (6_000.0..13_000.0).contains(&t) {
                2.5
            } else {
                0.8
            }
        }
    }),
    ("burst after low load", burst_after_low_load),
    ("late burst after low load", |scenario| {
        scenario.load = |t| if t < 20_000.0 { 0.1 } else { 2.5 }
    }),
    ("uneven load", |scenario| scenario.weight = uneven),
    ("uneven load, burst", |scenario| {
        scenario.weight = uneven;
        scenario.load = |t| {
            if (6_000.0..13_000.0).contains(&t) {
                2.5
            } else {
                0.8
            }
        };
    }),
    ("balancers restart in turn", |scenario| {
        scenario.restarts = |i, t| t > RESTART_AT && tenths(t) % 100 == i % 100
    }),
    ("all balancers restart, twice", |scenario| {
        scenario.restarts = |_, t| [70, 130].contains(&tenths(t))
    }),
    ("the restarted upstream returns errors", |scenario| {
        scenario.ending = |id, t| failing(id.0 == 1, t, Ending::Error)
    }),
    ("the restarted upstream rejects calls", |scenario| {
        scenario.ending = |id, t| failing(id.0 == 1, t, Ending::Rejected)
    }),
    ("last resort", last_resort),
    ("several restart", |scenario| scenario.restarting = 4),
    ("all restart", |scenario| {
        scenario.restarting = scenario.upstreams
    }),
    ("restarted twice", |scenario| {
        scenario.updates = vec![(9_000.0, vec![scenario.listed(1, 9_000.0)])]
    }),
    ("slow machine type, overload", |scenario| {
        scenario.relative_capacity = with_slow_machine_type;
        scenario.load = |_| 2.0;
    }),
    ("most replaced within four seconds", |scenario| {
        scenario.restarting = 0;
        let removed = |id| Endpoint {
            availability: Availability::Removed,
            ..scenario.listed(id, 0.0)
        };
        let mut updates = vec![(5_000.0, (3..=scenario.upstreams).map(removed).collect())];
        for id in 3..=scenario.upstreams {
            let at = 5_000.0 + 4_000.0 * id as f64 / scenario.upstreams as f64;
            updates.push((at, vec![scenario.listed(id, at)]));
        }
        scenario.updates = updates;
    }),
    ("a zone lost with its balancers", |scenario| {
        scenario.restarting = 0;
        let lost = |id: &u64| id.is_multiple_of(3);
        let removed = |id| Endpoint {
            availability: Availability::Removed,
            ..scenario.listed(id, 0.0)
        };
        scenario.updates = vec![(
            5_000.0,
            (1..=scenario.upstreams).filter(lost).map(removed).collect(),
        )];
        scenario.updates.push((
            9_000.0,
            (1..=scenario.upstreams)
                .filter(lost)
                .map(|id| scenario.listed(id, 9_000.0))
                .collect(),
        ));
        scenario.restarts = |i, t| i.is_multiple_of(3) && tenths(t) == 80;
    }),
    (
        "a zone returns one by one, calls prefer the local zone",
        zone_returns,
    ),
    (
        "one upstream in its zone, calls prefer the local zone",
        one_local_upstream,
    ),
];

fn one_local_upstream(scenario: &mut Scenario) {
    scenario.prefers_local = true;
    scenario.zone = |id| if id.0 == 1 { 0 } else { 1 + (id.0 % 2) as u16 };
}

/// All upstreams of a zone are lost and restart one after another, so that the first is at first the only local one for
/// a third of the balancers.
fn zone_returns(scenario: &mut Scenario) {
    scenario.prefers_local = true;
    scenario.zone = |id| (id.0 % 3) as u16;
    scenario.restarting = 0;
    let removed = |id| Endpoint {
        availability: Availability::Removed,
        ..scenario.listed(id, 0.0)
    };
    let mut updates: Vec<(f64, Vec<Endpoint>)> = vec![(
        5_000.0,
        (3..=scenario.upstreams).step_by(3).map(removed).collect(),
    )];
    for id in (3..=scenario.upstreams).step_by(3) {
        let at = 8_000.0 + 500.0 * id as f64;
        updates.push((at, vec![scenario.listed(id, at)]));
    }
    scenario.updates = updates;
}

fn tenths(t: f64) -> usize {
    (t / 100.0).round() as usize
}

fn uneven(index: usize) -> f64 {
    if index.is_multiple_of(5) {
        12.0
    } else {
        1.0
    }
}

fn failing(matches: bool, t: f64, ending: Ending) -> Ending {
    if matches && t > RESTART_AT {
        ending
    } else {
        Ending::Ok
    }
}

/// A third of the upstreams have less than half the capacity of the others.
fn with_slow_machine_type(id: UpstreamId) -> f64 {
    if id.0 % 3 == 1 {
        0.53
    } else {
        1.2
    }
}

fn burst_after_low_load(scenario: &mut Scenario) {
    scenario.load = |t| if t < 12_000.0 { 0.1 } else { 2.5 };
}

/// All upstreams but the first refuse connections after a while, and client load is high.
fn last_resort(scenario: &mut Scenario) {
    scenario.load = |t| if t < 14_000.0 { 0.1 } else { 10.0 };
    scenario.ending = |id, t| failing(id.0 != 1 && t > 14_000.0, t, Ending::ConnectFailed);
}

/// Runs a scenario variant with several seeds. Returns the calls relative to the budget in the worst window.
fn worst_window_use(fleet: FleetSize, seeds: u64, change: fn(&mut Scenario)) -> f64 {
    let worst_use = (0..seeds).map(|seed| {
        let mut scenario = Scenario::new(fleet.balancers, fleet.upstreams, fleet.capacity, seed);
        change(&mut scenario);
        run_scenario(scenario).worst_use
    });
    worst_use.fold(0.0, f64::max)
}

/// Runs every scenario variant with every fleet, prints a table and checks every window.
fn check_all_scenarios(seeds: u64) {
    let mut over = Vec::new();
    println!("worst window / budget used / requests served");
    for (name, change) in SCENARIOS {
        let mut line = String::new();
        for fleet in FLEETS {
            let (mut worst_use, mut used, mut served_requests) = (0.0f64, 0.0, 0.0);
            for seed in 0..seeds {
                let mut scenario =
                    Scenario::new(fleet.balancers, fleet.upstreams, fleet.capacity, seed);
                change(&mut scenario);
                let outcome = run_scenario(scenario);
                if outcome.worst_use > 1.0 {
                    over.push(format!(
                        "{name}, {fleet:?}, seed {seed}: {:?}",
                        outcome.worst_window
                    ));
                }
                worst_use = worst_use.max(outcome.worst_use);
                used += outcome.used / seeds as f64;
                served_requests +=
                    outcome.served_requests as f64 / outcome.requested as f64 / seeds as f64;
            }
            line += &format!(" {worst_use:.2}/{used:.2}/{served_requests:.2}");
        }
        println!("{name:56}{line}");
    }
    assert!(over.is_empty(), "over the budget: {over:?}");
}

#[test]
fn no_window_exceeds_the_slow_start_budget() {
    check_all_scenarios(1);
}

#[test]
#[ignore = "minutes; see docs/incidents/slow-start.md"]
fn no_window_exceeds_the_budget_with_many_seeds() {
    check_all_scenarios(20);
}

/// If each of 300 balancers saves one token at low load, all may be spent at once in a burst, or when no other upstream
/// is left.
#[test]
fn saved_slow_start_tokens_stay_within_the_budget() {
    let fleet = fleet(300, 8, 40.0);
    let worst_use = worst_window_use(fleet, 3, last_resort);
    assert!(
        worst_use <= 1.0,
        "as a last resort: {worst_use} times the budget"
    );
    let worst_use = worst_window_use(fleet, 3, burst_after_low_load);
    assert!(worst_use <= 1.0, "in a burst: {worst_use} times the budget");
}

/// Below the first tier, the initial capacity of a new process is four times its quota. Slow-start budgets must not be
/// based on it.
#[test]
fn new_lower_tier_processes_stay_within_budget() {
    let new = |scenario: &mut Scenario| {
        scenario.stage = 1;
        scenario.load = |_| 2.0;
        scenario.restarts = |_, t| t > 4_000.0 && tenths(t) % 15 == 10;
    };
    for fleet in [
        fleet(1, 8, 40.0),
        fleet(4, 8, 40.0),
        fleet(45, 8, 40.0),
        fleet(300, 8, 80.0),
    ] {
        let worst_use = worst_window_use(fleet, 3, new);
        assert!(worst_use <= 1.0, "{fleet:?}: {worst_use} times the budget");
    }
}

/// A slow machine has half the mean capacity, and needs a smaller slow-start budget.
#[test]
fn slow_machine_types_stay_within_budget() {
    let slow = |scenario: &mut Scenario| {
        burst_after_low_load(scenario);
        scenario.relative_capacity = with_slow_machine_type;
    };
    for fleet in [
        fleet(100, 8, 80.0),
        fleet(300, 8, 80.0),
        fleet(300, 30, 40.0),
    ] {
        let worst_use = worst_window_use(fleet, 3, slow);
        assert!(worst_use <= 1.0, "{fleet:?}: {worst_use} times the budget");
    }
}

/// If every process assumes an equal part of the quotas by the configured number of balancers, the sum grows with each
/// additional process.
#[test]
fn more_balancers_than_configured_stay_within_budget() {
    let many = |scenario: &mut Scenario| scenario.stated_balancers = scenario.balancers.div_ceil(3);
    let overloaded = |scenario: &mut Scenario| {
        scenario.stated_balancers = scenario.balancers.div_ceil(3);
        scenario.load = |_| 2.0;
        scenario.reports_served = true;
    };
    for fleet in [
        fleet(12, 8, 40.0),
        fleet(100, 8, 40.0),
        fleet(300, 8, 80.0),
        fleet(300, 30, 20.0),
    ] {
        let worst_use = worst_window_use(fleet, 3, many);
        assert!(
            worst_use <= 1.0,
            "{fleet:?}, usual load: {worst_use} times the budget"
        );
        let worst_use = worst_window_use(fleet, 3, overloaded);
        assert!(
            worst_use <= 1.0,
            "{fleet:?}, overload, upstreams report their rate: {worst_use} times the budget"
        );
    }
}

/// A third of the balancers have a single local upstream, of up to sixty, and prefer it.
#[test]
fn single_local_upstream_stays_within_budget() {
    let one = |scenario: &mut Scenario| {
        one_local_upstream(scenario);
        scenario.load = |t| if t < 9_500.0 { 0.1 } else { 2.5 };
    };
    for fleet in [fleet(45, 30, 20.0), fleet(300, 60, 20.0)] {
        let worst_use = worst_window_use(fleet, 2, one);
        assert!(worst_use <= 1.0, "{fleet:?}: {worst_use} times the budget");
    }
}
