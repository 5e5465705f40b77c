//! View changes while all disks are slow. A round takes two syncs, whose duration is unbounded, so with a fixed
//! round timeout every round would be aborted on a disk that is slow enough.
mod common;

use common::group::Group;
use googletest::prelude::*;

/// Pairs of the duration of a sync and the time limit for a view change, in milliseconds.
const CASES: [(u64, u64); 5] = [
    (9, 800),
    (120, 1500),
    (250, 6000),
    (400, 8000),
    (700, 14_000),
];

/// The time from the loss of a member until the others have a view without it; `None` when that exceeds `max_ms`.
fn time_to_view_without(group: &mut Group, lost: u32, max_ms: u64) -> Option<u64> {
    let started_at = group.now;
    group.stop_replica(lost);
    while group.chain().contains(&lost) {
        if group.now >= started_at + max_ms {
            return None;
        }
        group.run(20);
    }
    Some(group.now - started_at)
}

#[googletest::test]
fn slow_disks_allow_view_without_lost_member() {
    for (size, tolerance) in [(3, 1), (5, 2)] {
        for (sync_ms, max_ms) in CASES {
            for lost in 1..=size {
                let mut group = Group::start(size, tolerance);
                group.sync_ms = sync_ms;
                let took = time_to_view_without(&mut group, lost, max_ms);
                expect_that!(
                    took,
                    some(anything()),
                    "{lost} of {size} lost, a sync takes {sync_ms} ms"
                );
            }
        }
    }
}

#[googletest::test]
fn slow_disks_allow_recovery_after_power_loss() {
    for (size, tolerance) in [(3, 1), (5, 2)] {
        for (sync_ms, max_ms) in CASES {
            let mut group = Group::start(size, tolerance);
            group.sync_ms = sync_ms;
            let before = group.view();
            for address in group.addresses() {
                group.stop_replica(address);
            }
            for address in group.addresses() {
                group.start_replica(address);
            }
            let started_at = group.now;
            while !group.write() && group.now < started_at + max_ms {
                group.run(20);
            }
            expect_that!(
                group.view(),
                gt(before),
                "{size}, a sync takes {sync_ms} ms"
            );
            expect_that!(
                group.now - started_at,
                lt(max_ms),
                "{size}, a sync takes {sync_ms} ms"
            );
        }
    }
}
