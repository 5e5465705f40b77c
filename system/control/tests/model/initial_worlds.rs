//! Initial states for the model checker, reached by running the replicas.
use crate::world::{Budget, World};
use magpiegap_control::Replica;

/// A world in which all replicas are active and an entry is committed.
pub(crate) fn serving(size: usize, tolerance: usize, budget: Budget) -> World {
    let mut world = World::new(size, tolerance, budget);
    world.run_ticks(8);
    let serving = world
        .machines
        .iter()
        .filter_map(|machine| machine.process.as_ref());
    assert_eq!(
        serving.filter(|(replica, _)| replica.is_active()).count(),
        size
    );
    world.write();
    world.run_ticks(2);
    assert!(!world.history.is_empty());
    world
}

/// A world in which the tail is partitioned and the others have committed an entry without it.
pub(crate) fn with_partitioned_replica(size: usize, tolerance: usize, budget: Budget) -> World {
    let mut world = serving(size, tolerance, budget);
    let tail = (0..size)
        .find(|machine| world.replica(*machine).is_some_and(Replica::is_tail))
        .unwrap_or(0);
    world.machines[tail].is_partitioned = true;
    world.run_ticks(8);
    world.write();
    world.run_ticks(2);
    world
}

/// A world with copies of all disks that lack the latest entries and the view in which they were written.
pub(crate) fn with_disk_copies(size: usize, tolerance: usize, budget: Budget) -> World {
    let mut world = serving(size, tolerance, budget);
    world.copy_disks();
    let head = (0..size)
        .find(|machine| world.replica(*machine).is_some_and(Replica::is_head))
        .unwrap_or(0);
    world.lose_power(head);
    world.start(head, tolerance);
    world.run_ticks(12);
    world.write();
    world.run_ticks(2);
    world
}

/// A world in which a machine is stopped and its disk is wiped, and the others have gone on without it.
pub(crate) fn with_wiped_replica(size: usize, tolerance: usize, budget: Budget) -> World {
    let mut world = serving(size, tolerance, budget);
    world.wipe(0);
    world.run_ticks(8);
    world.write();
    world.run_ticks(1);
    world
}

/// A world in which all machines have lost power.
pub(crate) fn all_powered_off(size: usize, tolerance: usize, budget: Budget) -> World {
    let mut world = serving(size, tolerance, budget);
    world.write();
    for machine in 0..size {
        world.lose_power(machine);
    }
    world.links.clear();
    world
}
