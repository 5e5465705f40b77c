//! Machines that are replaced by others at new addresses. The group must not depend on the removed members, for
//! example by counting them as unreachable voters.
mod common;

use common::group::Group;
use googletest::prelude::*;

/// A group of five in which a machine was replaced seven times, one after the other.
fn group_after_replacements() -> Group {
    let mut group = Group::start(5, 2);
    group.write();
    group.run(200);
    for round in 0..7_u32 {
        let removed = group.addresses()[0];
        group.replace(removed, 20 + round);
        group.run(4000);
        assert_eq!(group.chain().len(), 5, "round {round}: {:?}", group.chain());
        group.write();
        group.run(200);
    }
    group
}

#[googletest::test]
fn broken_link_after_replacements_removes_one_member() {
    let mut group = group_after_replacements();
    let chain = group.chain();
    group
        .partitioned_links
        .insert((chain[1].min(chain[4]), chain[1].max(chain[4])));
    group.run(1500);
    let view = group.view();
    expect_that!(group.chain().len(), eq(4));
    for _ in 0..20 {
        let before = group.committed();
        expect_that!(group.write(), eq(true));
        group.run(100);
        expect_that!(group.committed(), gt(before));
    }
    expect_that!(group.view(), eq(view));
}

#[googletest::test]
fn group_survives_two_losses_after_replacements() {
    let mut group = group_after_replacements();
    let before = group.committed();
    for address in group.chain().into_iter().take(2) {
        group.stop_replica(address);
        group.wipe(address);
    }
    group.run(1500);
    expect_that!(group.write(), eq(true));
    group.run(200);
    expect_that!(group.committed(), gt(before));
    expect_that!(group.conflicts, is_empty());
}
