//! A replica that lags far behind catches up outside the chain, so that no write waits for it.
mod common;

use common::group::Group;
use googletest::prelude::*;

/// A group of five in which two replicas restart with empty disks. Sending them the state takes a long time.
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

/// A write is accepted by the head and committed within 100 ms.
fn expect_next_write_commits(group: &mut Group) {
    let before = group.committed();
    expect_that!(group.write(), eq(true));
    group.run(100);
    expect_that!(group.committed(), gt(before));
}

#[googletest::test]
fn writes_continue_while_empty_replicas_catch_up() {
    let mut group = two_of_five_wiped();
    let view = group.view();
    for _ in 0..12 {
        expect_next_write_commits(&mut group);
    }
    expect_that!(group.view(), eq(view));
    expect_that!(group.chain().len(), eq(3));
}

#[googletest::test]
fn empty_replicas_rejoin_chain_after_catch_up() {
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
fn empty_replica_joins_at_once_when_needed() {
    // Given: one of three has rejoined with an empty disk, and then another one stops
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
    // When: the only other replica can't commit alone
    let before = group.committed();
    group.write();
    group.run(1000);
    // Then
    expect_that!(group.chain(), unordered_elements_are![eq(&1), eq(&3)]);
    expect_that!(group.committed(), gt(before));
}

#[googletest::test]
fn partitioned_replica_rejoins_soon_after_reconnect() {
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
fn commits_resume_before_snapshot_transfer_after_power_loss() {
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
    // The remaining replicas still commit, while the snapshots are being sent.
    expect_that!(group.write(), eq(true));
    group.run(100);
    expect_that!(group.committed(), gt(before));
    expect_that!(
        group.chain(),
        unordered_elements_are![eq(&2), eq(&4), eq(&5)]
    );
    // Then the wiped replicas join.
    group.run(5000);
    expect_that!(group.chain().len(), eq(5));
}

#[googletest::test]
fn broken_link_removes_one_member_without_view_churn() {
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
fn learner_without_tail_link_causes_no_view_change() {
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
fn one_of_two_disconnected_replicas_rejoins() {
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
fn lone_replica_applies_known_committed_entries() {
    // Given: no checkpoint was written, so that all entries are in the log on disk
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
    // When: the others are stopped, so that no view can be decided
    group.start_replica(2);
    group.run(300);
    // Then: it has applied all but the last few entries, which it does not know to be committed
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
