//! The loss of a zone: what is acknowledged is kept in another one, and a majority of the voters is left.
mod common;

use common::group::Group;
use googletest::prelude::*;
use magpiegap_control::Tolerance;
use magpiegap_protocol::{FailureDomainId, Location};

/// One machine, or all of one zone, may be lost at once.
const ONE_ZONE: Tolerance = Tolerance {
    machines: 1,
    zones: 1,
    regions: 0,
};

fn in_zones(zones: &[&str]) -> Vec<Location> {
    let location = |zone: &&str| Location {
        zone: FailureDomainId::of(zone),
        region: FailureDomainId::of("region"),
    };
    zones.iter().map(location).collect()
}

#[googletest::test]
fn given_replicas_of_one_zone_when_a_zone_may_be_lost_then_they_do_not_suffice() {
    expect_that!(
        ONE_ZONE.keeps_replica(&in_zones(&["a", "a", "a"])),
        eq(false)
    );
    expect_that!(ONE_ZONE.keeps_replica(&in_zones(&["a", "b"])), eq(true));
    expect_that!(ONE_ZONE.keeps_replica(&in_zones(&["a"])), eq(false));
    expect_that!(
        Tolerance::of_machines(1).keeps_replica(&in_zones(&["a", "a"])),
        eq(true)
    );
}

#[googletest::test]
fn given_voters_when_any_zone_may_be_lost_then_none_may_hold_half_of_them() {
    expect_that!(
        ONE_ZONE.keeps_majority(&in_zones(&["a", "a", "b"])),
        eq(false)
    );
    expect_that!(
        ONE_ZONE.keeps_majority(&in_zones(&["a", "a", "b", "b"])),
        eq(false)
    );
    expect_that!(
        ONE_ZONE.keeps_majority(&in_zones(&["a", "b", "c"])),
        eq(true)
    );
    expect_that!(
        ONE_ZONE.keeps_majority(&in_zones(&["a", "a", "b", "b", "c"])),
        eq(true)
    );
}

#[googletest::test]
fn given_regions_when_one_may_be_lost_then_replicas_and_voters_are_in_several() {
    let tolerance = Tolerance {
        machines: 1,
        zones: 0,
        regions: 1,
    };
    let at = |zone: &str, region: &str| Location {
        zone: FailureDomainId::of(zone),
        region: FailureDomainId::of(region),
    };
    let one_region = [at("a", "r"), at("b", "r"), at("c", "s")];
    let three_regions = [at("a", "r"), at("b", "s"), at("c", "t")];
    expect_that!(tolerance.keeps_replica(&one_region[..2]), eq(false));
    expect_that!(tolerance.keeps_replica(&one_region), eq(true));
    expect_that!(tolerance.keeps_majority(&one_region), eq(false));
    expect_that!(tolerance.keeps_majority(&three_regions), eq(true));
}

#[googletest::test]
fn given_only_one_zone_left_when_a_write_comes_then_it_is_not_committed_until_another_is_back() {
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
fn given_seeds_of_which_two_share_a_zone_when_that_zone_is_lost_then_writes_go_on() {
    for zones in [
        ["a", "a", "b", "b", "c"],
        ["a", "a", "b", "c", "a"],
        ["a", "a", "b", "c", "d"],
    ] {
        let mut group = Group::start_in_zones(&zones, 3, ONE_ZONE);
        group.run(2000);
        let of_a: Vec<u32> = (1..)
            .zip(zones)
            .filter(|(_, zone)| *zone == "a")
            .map(|(address, _)| address)
            .collect();
        for address in of_a {
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
fn given_a_zone_that_comes_back_with_empty_disks_when_all_others_lost_power_then_nothing_is_lost() {
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
