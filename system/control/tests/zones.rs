//! Tolerance of the loss of a zone or region: acknowledged entries are kept in another one, and a majority of the
//! voters survives.
mod common;

use common::group::Group;
use googletest::prelude::*;
use magpiegap_control::Tolerance;
use magpiegap_protocol::{FailureDomainId, Location};

/// Tolerates the loss of one machine or of an entire zone.
const ONE_ZONE: Tolerance = Tolerance {
    machines: 1,
    zones: 1,
    regions: 0,
};

fn in_zones(zones: &[&str]) -> Vec<Location> {
    let location = |zone: &&str| Location {
        zone: FailureDomainId::from_name(zone),
        region: FailureDomainId::from_name("region"),
    };
    zones.iter().map(location).collect()
}

#[googletest::test]
fn replicas_in_one_zone_do_not_suffice() {
    expect_that!(
        ONE_ZONE.replica_survives(&in_zones(&["a", "a", "a"])),
        eq(false)
    );
    expect_that!(ONE_ZONE.replica_survives(&in_zones(&["a", "b"])), eq(true));
    expect_that!(ONE_ZONE.replica_survives(&in_zones(&["a"])), eq(false));
    expect_that!(
        Tolerance::of_machines(1).replica_survives(&in_zones(&["a", "a"])),
        eq(true)
    );
}

#[googletest::test]
fn no_zone_may_hold_half_the_voters() {
    expect_that!(
        ONE_ZONE.majority_survives(&in_zones(&["a", "a", "b"])),
        eq(false)
    );
    expect_that!(
        ONE_ZONE.majority_survives(&in_zones(&["a", "a", "b", "b"])),
        eq(false)
    );
    expect_that!(
        ONE_ZONE.majority_survives(&in_zones(&["a", "b", "c"])),
        eq(true)
    );
    expect_that!(
        ONE_ZONE.majority_survives(&in_zones(&["a", "a", "b", "b", "c"])),
        eq(true)
    );
}

#[googletest::test]
fn region_tolerance_requires_several_regions() {
    let tolerance = Tolerance {
        machines: 1,
        zones: 0,
        regions: 1,
    };
    let at = |zone: &str, region: &str| Location {
        zone: FailureDomainId::from_name(zone),
        region: FailureDomainId::from_name(region),
    };
    let two_regions = [at("a", "r"), at("b", "r"), at("c", "s")];
    let three_regions = [at("a", "r"), at("b", "s"), at("c", "t")];
    expect_that!(tolerance.replica_survives(&two_regions[..2]), eq(false));
    expect_that!(tolerance.replica_survives(&two_regions), eq(true));
    expect_that!(tolerance.majority_survives(&two_regions), eq(false));
    expect_that!(tolerance.majority_survives(&three_regions), eq(true));
}

#[googletest::test]
fn single_zone_commits_nothing_until_another_returns() {
    let mut group = Group::start_in_zones(&["a", "a", "b"], 3, ONE_ZONE);
    group.stop_replica(3);
    group.run(1500);
    let before = group.committed();
    group.write();
    group.run(1500);
    expect_that!(group.committed(), eq(before));

    group.start_replica(3);
    group.run(2500);
    expect_that!(group.committed(), gt(before));
}

#[googletest::test]
fn writes_continue_after_loss_of_shared_zone() {
    for zones in [
        ["a", "a", "b", "b", "c"],
        ["a", "a", "b", "c", "a"],
        ["a", "a", "b", "c", "d"],
    ] {
        let mut group = Group::start_in_zones(&zones, 3, ONE_ZONE);
        group.run(2000);
        let in_zone_a: Vec<u32> = (1..)
            .zip(zones)
            .filter(|(_, zone)| *zone == "a")
            .map(|(address, _)| address)
            .collect();
        for address in in_zone_a {
            group.stop_replica(address);
        }
        group.run(1500);
        let before = group.committed();
        expect_that!(group.write(), eq(true), "{zones:?}");
        group.run(500);
        expect_that!(group.committed(), gt(before), "{zones:?}");
    }
}

#[googletest::test]
fn zone_with_wiped_disks_loses_no_entries() {
    let mut group = Group::start_in_zones(&["a", "a", "b", "b", "c"], 3, ONE_ZONE);
    group.run(2000);
    for _ in 0..10 {
        group.write();
    }
    group.run(500);
    let committed = group.committed();
    expect_that!(committed, ge(10));
    for address in 1..=5 {
        group.stop_replica(address);
    }
    for address in [1, 2] {
        group.wipe(address);
    }
    for address in 1..=5 {
        group.start_replica(address);
    }
    group.run(5000);
    expect_that!(group.chain().len(), eq(5));
    expect_that!(group.applied(1), ge(committed));
    let before = group.committed();
    group.write();
    group.run(500);
    expect_that!(group.committed(), gt(before));
}
