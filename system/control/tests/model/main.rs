//! Explores the production replica code with a model checker: views, the chain, learners, wiped and restored disks,
//! power losses, partitions, and machines that freeze.
//!
//! Each step is one of: deliver or drop a message, deliver everything in flight, sync a disk, advance the time, start
//! a write or a read, kill a process, cut the power of a machine, wipe its disk or restore it from an old copy, start
//! a process, partition or freeze a machine. Time advances for all machines at once. Heartbeats are delivered
//! immediately, except to frozen machines, where they are queued. `Budget` limits how often each kind of step occurs.
//! Within these limits, breadth-first search tries every order of steps up to a number of states, and random walks
//! explore longer sequences.
#[path = "../common/mod.rs"]
mod common;
mod initial_worlds;
mod reads;
mod running;
mod steps;
mod world;

use initial_worlds::{
    all_powered_off, serving, with_disk_copies, with_partitioned_replica, with_wiped_replica,
};
use stateright::{Checker, HasDiscoveries, Model, UniformChooser};
use steps::ControlModel;
use world::{Budget, World, EMPTY_BUDGET};

/// Explores the model from these initial worlds: breadth first up to `states` states, then by random walks of `walks`
/// states in total. The environment variable `MODEL_FACTOR` multiplies both limits. Prints how much was explored.
fn explore(name: &str, tolerance: usize, worlds: Vec<World>, states: usize, walks: usize) {
    let factor = std::env::var("MODEL_FACTOR")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let model = || ControlModel {
        tolerance,
        worlds: worlds.clone(),
    };
    let breadth = model()
        .checker()
        .target_state_count(states * factor)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let depth = model()
        .checker()
        .target_state_count(walks * factor)
        .target_max_depth(400)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_simulation(7, UniformChooser)
        .join();
    println!(
        "{name}: {} states breadth first, {} deep; {} states on random walks",
        breadth.unique_state_count(),
        breadth.max_depth(),
        depth.state_count()
    );
    for discoveries in [breadth.discoveries(), depth.discoveries()] {
        if let Some((property, path)) = discoveries.into_iter().next() {
            let violation = path.last_state().violation.clone();
            panic!(
                "{name}: {property}: {violation:?}; steps: {:#?}",
                path.into_actions()
            );
        }
    }
}

#[test]
fn reads_and_writes_survive_partition_or_freeze() {
    let budget = Budget {
        ticks: 14,
        writes: 3,
        reads: 2,
        partitions: 1,
        freezes: 1,
        lost_messages: 1,
        ..EMPTY_BUDGET
    };
    explore(
        "partition or freeze",
        1,
        vec![serving(3, 1, budget)],
        30_000,
        60_000,
    );
}

#[test]
fn acknowledged_entries_survive_reconnect_and_second_failure() {
    let budget = Budget {
        ticks: 14,
        writes: 2,
        reads: 2,
        kills: 1,
        power_losses: 1,
        ..EMPTY_BUDGET
    };
    explore(
        "reconnect",
        1,
        vec![with_partitioned_replica(3, 1, budget)],
        30_000,
        60_000,
    );
}

#[test]
fn acknowledged_entries_survive_wiped_disk_and_power_losses() {
    let budget = Budget {
        ticks: 16,
        writes: 2,
        reads: 1,
        power_losses: 2,
        ..EMPTY_BUDGET
    };
    explore(
        "wiped disk",
        1,
        vec![with_wiped_replica(3, 1, budget)],
        30_000,
        60_000,
    );
}

#[test]
fn acknowledged_entries_survive_disk_loss_with_power_losses() {
    let budget = Budget {
        ticks: 16,
        writes: 2,
        wipes: 1,
        power_losses: 2,
        ..EMPTY_BUDGET
    };
    explore(
        "disk loss with power losses",
        1,
        vec![serving(3, 1, budget)],
        30_000,
        60_000,
    );
}

#[test]
fn acknowledged_entries_survive_power_loss_of_all_machines() {
    let budget = Budget {
        ticks: 12,
        writes: 2,
        reads: 1,
        kills: 1,
        lost_messages: 1,
        ..EMPTY_BUDGET
    };
    explore(
        "power loss of all machines",
        1,
        vec![all_powered_off(3, 1, budget), all_powered_off(5, 2, budget)],
        20_000,
        40_000,
    );
}

#[test]
fn acknowledged_entries_survive_disk_restored_from_old_copy() {
    let budget = Budget {
        ticks: 16,
        writes: 2,
        reads: 1,
        restores: 1,
        kills: 1,
        power_losses: 2,
        ..EMPTY_BUDGET
    };
    explore(
        "disk restored from old copy",
        1,
        vec![with_disk_copies(3, 1, budget)],
        30_000,
        60_000,
    );
}

#[test]
fn five_replicas_survive_two_disk_and_power_losses() {
    let budget = Budget {
        ticks: 16,
        writes: 2,
        wipes: 2,
        power_losses: 3,
        ..EMPTY_BUDGET
    };
    explore(
        "five replicas with two disk losses",
        2,
        vec![serving(5, 2, budget)],
        8_000,
        40_000,
    );
}
