//! Model checking of a task's runs, over the production scheduler, replicated state and emulated workers.
//!
//! The model has one job with one task, and two workers. Calls and replies may be lost, delayed and reordered; time may
//! pass beyond leases; workers may become unreachable or crash; the role may fail over while the previous scheduler
//! still acts under its lease.

mod actions;
mod model_state;
mod transitions;

use actions::RunModel;
use model_state::{Budget, QUICK_MS, SLOW_MS};
use stateright::{Checker, HasDiscoveries, Model, UniformChooser};
use std::collections::BTreeMap;

/// Explores up to `states` states breadth first and `walks` states by random walks. The environment variable
/// `MODEL_FACTOR` multiplies both limits.
fn explore(name: &str, work_ms: u64, budget: Budget, states: usize, walks: usize) {
    let factor = std::env::var("MODEL_FACTOR")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let breadth = RunModel { budget, work_ms }
        .checker()
        .target_state_count(states * factor)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let walk = RunModel { budget, work_ms }
        .checker()
        .target_state_count(walks * factor)
        .target_max_depth(300)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_simulation(11, UniformChooser)
        .join();
    println!(
        "{name}: {} states breadth first, depth {}; {} states on random walks",
        breadth.unique_state_count(),
        breadth.max_depth(),
        walk.state_count()
    );
    let mut task_completes = false;
    for discoveries in [breadth.discoveries(), walk.discoveries()] {
        let found: BTreeMap<_, _> = discoveries.into_iter().collect();
        task_completes |= found.contains_key("the task completes");
        if let Some(path) = found
            .into_iter()
            .find(|(name, _)| *name != "the task completes")
            .map(|(_, path)| path)
        {
            let violation = path.last_state().violation.clone();
            panic!("{name}: {violation:?}; actions: {:#?}", path.into_actions());
        }
    }
    // With a slow task, few random walks are long enough for it to complete.
    assert!(
        task_completes || work_ms == SLOW_MS,
        "{name}: the task completes in no explored path"
    );
}

const BASE_BUDGET: Budget = Budget {
    short: 30,
    medium: 0,
    long: 0,
    unreachable_workers: 0,
    lost_messages: 0,
    late_calls: 0,
    failovers: 0,
    crashes: 0,
};

#[test]
fn late_orders_never_run_twice_after_failover() {
    let budget = Budget {
        late_calls: 3,
        failovers: 2,
        ..BASE_BUDGET
    };
    explore("late orders, failovers", QUICK_MS, budget, 15_000, 60_000);
}

#[test]
fn lost_messages_and_expired_leases_never_run_twice() {
    let budget = Budget {
        long: 2,
        lost_messages: 4,
        late_calls: 2,
        ..BASE_BUDGET
    };
    explore(
        "lost calls, leases expire",
        QUICK_MS,
        budget,
        15_000,
        60_000,
    );
}

#[test]
fn unreachable_workers_run_restarts_only_after_its_lease() {
    let budget = Budget {
        short: 6,
        medium: 10,
        unreachable_workers: 1,
        failovers: 1,
        ..BASE_BUDGET
    };
    explore("unreachable worker", SLOW_MS, budget, 15_000, 150_000);
}

#[test]
fn late_orders_never_run_twice_after_worker_crash() {
    let budget = Budget {
        long: 1,
        late_calls: 2,
        lost_messages: 1,
        crashes: 2,
        failovers: 1,
        ..BASE_BUDGET
    };
    explore("worker crashes", QUICK_MS, budget, 15_000, 60_000);
}
