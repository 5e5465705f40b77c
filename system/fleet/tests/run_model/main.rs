//! A task's runs, explored by a model checker over the scheduler, the replicated state and the workers that run.
//!
//! A job with one task, two workers. Each step is one of: a call is delivered to its worker, is lost, or is delivered
//! after its caller has timed out; a reply is delivered or lost; the log commits the next proposal; time passes, shortly
//! or longer than any lease; the role passes to another scheduler, while the one before may go on until its lease
//! expires; a worker crashes and comes back as another incarnation. Calls and replies overtake each other freely.

mod running;
mod steps;
mod world;

use stateright::{Checker, HasDiscoveries, Model, UniformChooser};
use std::collections::BTreeMap;
use steps::Runs;
use world::{Budget, QUICK_MS, SLOW_MS};

/// Explores: breadth first up to so many states, then by random walks. `MODEL_FACTOR` in the environment asks for more.
fn explore(name: &str, work_ms: u64, budget: Budget, states: usize, walks: usize) {
    let factor = std::env::var("MODEL_FACTOR")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let breadth = Runs { budget, work_ms }
        .checker()
        .target_state_count(states * factor)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let walk = Runs { budget, work_ms }
        .checker()
        .target_state_count(walks * factor)
        .target_max_depth(300)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_simulation(11, UniformChooser)
        .join();
    println!(
        "{name}: {} states breadth first, {} deep; {} states on random walks",
        breadth.unique_state_count(),
        breadth.max_depth(),
        walk.state_count()
    );
    let mut task_ends = false;
    for discoveries in [breadth.discoveries(), walk.discoveries()] {
        let found: BTreeMap<_, _> = discoveries.into_iter().collect();
        task_ends |= found.contains_key("the task ends");
        if let Some(path) = found
            .into_iter()
            .find(|(name, _)| *name != "the task ends")
            .map(|(_, path)| path)
        {
            let violation = path.last_state().violation.clone();
            panic!("{name}: {violation:?}; steps: {:#?}", path.into_actions());
        }
    }
    // With a slow task few random walks are long enough.
    assert!(
        task_ends || work_ms == SLOW_MS,
        "{name}: in no story the task ends"
    );
}

const QUIET: Budget = Budget {
    short: 30,
    middle: 0,
    long: 0,
    unreachable_workers: 0,
    lost_messages: 0,
    late_calls: 0,
    take_overs: 0,
    crashes: 0,
};

#[test]
fn given_late_orders_when_the_role_passes_on_then_nothing_runs_twice() {
    let budget = Budget {
        late_calls: 3,
        take_overs: 2,
        ..QUIET
    };
    explore("late orders, take-overs", QUICK_MS, budget, 15_000, 60_000);
}

#[test]
fn given_lost_calls_and_replies_when_leases_expire_then_nothing_runs_twice() {
    let budget = Budget {
        long: 2,
        lost_messages: 4,
        late_calls: 2,
        ..QUIET
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
fn given_an_unreachable_worker_when_the_role_passes_on_then_its_run_restarts_elsewhere_only_after_its_lease(
) {
    let budget = Budget {
        short: 6,
        middle: 10,
        unreachable_workers: 1,
        take_overs: 1,
        ..QUIET
    };
    explore("unreachable worker", SLOW_MS, budget, 15_000, 150_000);
}

#[test]
fn given_a_worker_that_crashes_when_its_orders_are_late_then_nothing_runs_twice() {
    let budget = Budget {
        long: 1,
        late_calls: 2,
        lost_messages: 1,
        crashes: 2,
        take_overs: 1,
        ..QUIET
    };
    explore("workers that crash", QUICK_MS, budget, 15_000, 60_000);
}
