//! Machines that are replaced by others at other addresses leave nothing behind.
mod common;

use common::group::Group;
use googletest::prelude::*;

/// Five, of which seven were replaced one after the other.
fn often_replaced() -> Group {
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
fn given_replaced_machines_when_a_link_of_the_chain_is_cut_then_one_goes_and_views_stop_changing() {
    let mut group = often_replaced();
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
fn given_all_machines_replaced_when_two_are_lost_then_the_others_go_on_and_keep_all() {
    let mut group = often_replaced();
    let before = group.committed();
    for address in group.chain().into_iter().take(2) {
        group.stop_replica(address);
        group.wipe(address);
    }
    group.run(1500);
    expect_that!(group.write(), eq(true));
    group.run(200);
    expect_that!(group.committed(), gt(before));
    expect_that!(group.contradictions, is_empty());
}
