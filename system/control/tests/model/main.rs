//! The replicas that run, explored by a model checker: views, the chain, learners, wiped and replaced voters, loss of
//! power, partitions, and machines that freeze.
//!
//! Each step is one of: a message arrives or is lost, all that is in flight arrives, a disk confirms what was submitted to
//! it, time passes, a write or a read comes, a process is killed, a machine loses power or its disk, gets its disk back from
//! an old copy, starts again, is cut off or freezes. Time passes for all at once, and heartbeats arrive while it does, except at frozen machines, where they wait. How
//! much of each may happen is bounded (`Budget`); within that breadth-first search takes every order of steps up to a
//! number of states, and random walks go on far beyond it.
#[path = "../common/mod.rs"]
mod common;
mod initial_worlds;
mod reads;
mod running;
mod steps;
mod world;

use initial_worlds::{all_powered_off, serving, with_a_wiped_one, with_copies, without_one};
use stateright::{Checker, HasDiscoveries, Model, UniformChooser};
use steps::Core;
use world::{Budget, World, NOTHING};

/// Explores worlds: breadth first up to so many states, then by random walks. `MODEL_FACTOR` in the environment asks for
/// more of both. Prints how much was explored.
fn explore(name: &str, tolerance: usize, worlds: Vec<World>, states: usize, walks: usize) {
    let factor = std::env::var("MODEL_FACTOR")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let core = || Core {
        tolerance,
        worlds: worlds.clone(),
    };
    let breadth = core()
        .checker()
        .target_state_count(states * factor)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    let depth = core()
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
fn given_a_serving_core_when_one_is_cut_off_or_freezes_then_nothing_is_lost_or_hidden() {
    let budget = Budget {
        ticks: 14,
        writes: 3,
        reads: 2,
        partitions: 1,
        freezes: 1,
        lost_messages: 1,
        ..NOTHING
    };
    explore("cut off", 1, vec![serving(3, 1, budget)], 30_000, 60_000);
}

#[test]
fn given_one_that_is_cut_off_when_it_is_back_and_another_one_goes_then_nothing_is_lost_or_hidden() {
    let budget = Budget {
        ticks: 14,
        writes: 2,
        reads: 2,
        kills: 1,
        power_losses: 1,
        ..NOTHING
    };
    explore("back", 1, vec![without_one(3, 1, budget)], 30_000, 60_000);
}

#[test]
fn given_a_wiped_disk_when_its_machine_comes_back_and_others_lose_power_then_nothing_is_lost() {
    let budget = Budget {
        ticks: 16,
        writes: 2,
        reads: 1,
        power_losses: 2,
        ..NOTHING
    };
    explore(
        "wiped",
        1,
        vec![with_a_wiped_one(3, 1, budget)],
        30_000,
        60_000,
    );
}

#[test]
fn given_a_serving_core_when_a_disk_and_the_power_of_the_others_are_lost_then_nothing_is_lost() {
    let budget = Budget {
        ticks: 16,
        writes: 2,
        wipes: 1,
        power_losses: 2,
        ..NOTHING
    };
    explore(
        "disk and power",
        1,
        vec![serving(3, 1, budget)],
        30_000,
        60_000,
    );
}

#[test]
fn given_a_loss_of_power_by_all_when_they_start_in_any_order_then_nothing_is_lost() {
    let budget = Budget {
        ticks: 12,
        writes: 2,
        reads: 1,
        kills: 1,
        lost_messages: 1,
        ..NOTHING
    };
    explore(
        "all powered off",
        1,
        vec![all_powered_off(3, 1, budget), all_powered_off(5, 2, budget)],
        20_000,
        40_000,
    );
}

#[test]
fn given_old_copies_of_all_disks_when_one_is_put_back_and_others_lose_power_then_nothing_is_lost() {
    let budget = Budget {
        ticks: 16,
        writes: 2,
        reads: 1,
        restores: 1,
        kills: 1,
        power_losses: 2,
        ..NOTHING
    };
    explore(
        "old copy",
        1,
        vec![with_copies(3, 1, budget)],
        30_000,
        60_000,
    );
}

#[test]
fn given_five_when_two_disks_and_the_power_of_the_others_are_lost_then_nothing_is_lost() {
    let budget = Budget {
        ticks: 16,
        writes: 2,
        wipes: 2,
        power_losses: 3,
        ..NOTHING
    };
    explore(
        "two disks of five",
        2,
        vec![serving(5, 2, budget)],
        8_000,
        40_000,
    );
}
