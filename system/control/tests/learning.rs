//! A replica that has missed much catches up outside of the chain, so that no write waits for it.
mod common;

use common::group::Group;
use googletest::prelude::*;

/// A group of five, two of which come back with empty disks; it takes long to send them the state.
fn two_of_five_wiped() -> Group {
    let mut group = Group::start(5, 2);
    for _ in 0..10 {
        group.write();
    }
    group.run(200);
    for address in [4, 5] {
        group.stop_replica(address);
        group.wipe(address);
    }
    group.run(800);
    group.catch_up_delay_ms = 1500;
    for address in [4, 5] {
        group.start_replica(address);
    }
    group
}

/// The head takes a write, and it is committed soon.
fn expect_next_write_commits(group: &mut Group) {
    let before = group.committed();
    expect_that!(group.write(), eq(true));
    group.run(100);
    expect_that!(group.committed(), gt(before));
}

#[googletest::test]
fn given_replicas_with_empty_disks_when_they_come_back_then_writes_go_on_without_them() {
    let mut group = two_of_five_wiped();
    let view = group.view();
    for _ in 0..12 {
        expect_next_write_commits(&mut group);
    }
    expect_that!(group.view(), eq(view));
    expect_that!(group.chain().len(), eq(3));
}

#[googletest::test]
fn given_replicas_with_empty_disks_when_they_have_the_state_then_they_are_in_the_chain() {
    let mut group = two_of_five_wiped();
    for _ in 0..40 {
        group.write();
        group.run(100);
    }
    expect_that!(
        group.chain(),
        unordered_elements_are![eq(&1), eq(&2), eq(&3), eq(&4), eq(&5)]
    );
    let before = group.committed();
    group.write();
    group.run(200);
    expect_that!(group.committed(), gt(before));
    expect_that!(group.replica(5).commit_index().0, eq(group.committed()));
}

#[googletest::test]
fn given_too_few_without_it_when_a_replica_with_an_empty_disk_comes_back_then_it_is_taken_in_at_once(
) {
    // Given: two of three bear no further loss, and one of them is gone
    let mut group = Group::start(3, 1);
    group.write();
    group.run(100);
    group.stop_replica(3);
    group.run(800);
    group.wipe(3);
    group.start_replica(3);
    group.run(1000);
    expect_that!(group.chain().len(), eq(3));
    group.stop_replica(2);
    group.run(100);
    // When: the only one that is left beside the wiped one is not enough for a commit
    let before = group.committed();
    group.write();
    group.run(1000);
    // Then
    expect_that!(group.chain(), unordered_elements_are![eq(&1), eq(&3)]);
    expect_that!(group.committed(), gt(before));
}

#[googletest::test]
fn given_a_replica_that_was_cut_off_when_it_is_back_then_it_follows_and_joins_soon() {
    let mut group = Group::start(3, 1);
    group.partitioned.insert(2);
    for _ in 0..20 {
        group.write();
        group.run(100);
    }
    expect_that!(group.chain(), unordered_elements_are![eq(&1), eq(&3)]);
    group.partitioned.clear();
    group.run(700);
    expect_that!(group.chain().len(), eq(3));
}

#[googletest::test]
fn given_a_loss_of_power_of_all_when_two_disks_are_lost_then_the_others_commit_before_the_snapshot_is_sent(
) {
    let mut group = Group::start(5, 2);
    for _ in 0..10 {
        group.write();
    }
    group.run(200);
    let before = group.committed();
    for address in 1..=5 {
        group.stop_replica(address);
    }
    for address in [1, 3] {
        group.wipe(address);
    }
    group.catch_up_delay_ms = 1500;
    for address in 1..=5 {
        group.start_replica(address);
    }
    group.run(600);
    // What was committed is still there, and more can be.
    expect_that!(group.write(), eq(true));
    group.run(100);
    expect_that!(group.committed(), gt(before));
    expect_that!(
        group.chain(),
        unordered_elements_are![eq(&2), eq(&4), eq(&5)]
    );
    // And the others come in.
    group.run(5000);
    expect_that!(group.chain().len(), eq(5));
}

#[googletest::test]
fn given_a_link_cut_between_two_of_the_chain_when_all_others_hear_both_then_one_goes_and_views_stop_changing(
) {
    let mut group = Group::start(5, 2);
    group.partitioned_links.insert((2, 5));
    group.run(1500);
    let view = group.view();
    expect_that!(group.chain().len(), eq(4));
    for _ in 0..30 {
        expect_next_write_commits(&mut group);
    }
    expect_that!(group.view(), eq(view));
    group.partitioned_links.clear();
    group.run(1000);
    expect_that!(group.chain().len(), eq(5));
}

#[googletest::test]
fn given_a_replica_outside_of_the_chain_when_it_does_not_hear_the_tail_then_it_does_not_disturb_the_chain(
) {
    let mut group = Group::start(5, 2);
    group.stop_replica(3);
    group.run(1000);
    let tail = group.chain().last().copied().unwrap_or_default();
    let view = group.view();
    group.partitioned_links.insert((3.min(tail), 3.max(tail)));
    group.start_replica(3);
    group.run(3000);
    expect_that!(group.view(), eq(view));
    group.partitioned_links.clear();
    group.run(1500);
    expect_that!(group.chain().len(), eq(5));
}

#[googletest::test]
fn given_two_replicas_that_do_not_hear_each_other_when_both_come_back_then_one_joins_and_views_stop_changing(
) {
    let mut group = Group::start(5, 2);
    for address in [2, 5] {
        group.stop_replica(address);
    }
    group.run(1000);
    group.partitioned_links.insert((2, 5));
    for address in [2, 5] {
        group.start_replica(address);
    }
    group.run(1500);
    let view = group.view();
    expect_that!(group.chain().len(), eq(4));
    group.run(3000);
    expect_that!(group.view(), eq(view));
    group.partitioned_links.clear();
    group.run(1500);
    expect_that!(group.chain().len(), eq(5));
}

#[googletest::test]
fn given_a_long_log_when_a_replica_starts_again_alone_then_it_applies_what_it_knows_to_be_committed(
) {
    // Given: no checkpoint was made, so that all entries are in the log on disk
    let mut group = Group::start(3, 1);
    for _ in 0..900 {
        group.write();
        group.run(5);
    }
    group.run(200);
    let committed = group.committed();
    for address in 1..=3 {
        group.stop_replica(address);
    }
    // When: the others are not there, so that no view can be agreed
    group.start_replica(2);
    group.run(300);
    // Then: it has applied all but the last few, which it does not know to be committed
    expect_that!(group.applied(2), ge(committed - 10));
    expect_that!(group.applied(2), le(committed));
    for address in [1, 3] {
        group.start_replica(address);
    }
    group.run(1000);
    expect_that!(group.chain().len(), eq(3));
    expect_that!(group.write(), eq(true));
    group.run(100);
    expect_that!(group.committed(), gt(committed));
}
