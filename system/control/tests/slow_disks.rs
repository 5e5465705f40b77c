//! Views on disks that are all slow: a round takes two syncs, and no constant bounds those.
mod common;

use common::group::Group;
use googletest::prelude::*;

/// For a sync of so many milliseconds: how many it may take until a view is agreed.
const CASES: [(u64, u64); 5] = [
    (9, 800),
    (120, 1500),
    (250, 6000),
    (400, 8000),
    (700, 14_000),
];

/// The time from the loss of a member until the others have a view without it.
fn time_without(group: &mut Group, lost: u32, max_ms: u64) -> Option<u64> {
    let began = group.now;
    group.stop_replica(lost);
    while group.chain().contains(&lost) {
        if group.now >= began + max_ms {
            return None;
        }
        group.run(20);
    }
    Some(group.now - began)
}

#[googletest::test]
fn given_slow_disks_when_a_member_is_lost_then_the_others_agree_on_a_view_without_it() {
    for (size, tolerance) in [(3, 1), (5, 2)] {
        for (sync_ms, max_ms) in CASES {
            for lost in 1..=size {
                let mut group = Group::start(size, tolerance);
                group.sync_ms = sync_ms;
                let took = time_without(&mut group, lost, max_ms);
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
fn given_slow_disks_when_all_have_lost_power_then_they_go_on_together() {
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
            let began = group.now;
            while !group.write() && group.now < began + max_ms {
                group.run(20);
            }
            expect_that!(
                group.view(),
                gt(before),
                "{size}, a sync takes {sync_ms} ms"
            );
            expect_that!(
                group.now - began,
                lt(max_ms),
                "{size}, a sync takes {sync_ms} ms"
            );
        }
    }
}
