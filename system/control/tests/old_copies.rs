//! A disk that is put back from an old copy, under the name of the one that went on: who recognises it, and what becomes of
//! its member.
mod common;

use common::group::Group;
use googletest::prelude::*;

/// Three replicas whose disks were copied; after that entries were committed.
fn group_with_copies() -> Group {
    let mut group = Group::start(3, 1);
    for address in group.addresses() {
        group.copy_disk(address);
    }
    write_some(&mut group);
    group
}

fn write_some(group: &mut Group) {
    for _ in 0..5 {
        group.write();
        group.run(100);
    }
}

/// The disk of a machine is put back from its copy, and the machine starts.
fn put_back(group: &mut Group, address: u32) {
    group.stop_replica(address);
    group.run(800);
    group.put_back(address);
    group.start_replica(address);
}

/// All take part again, nothing was replaced, and writes are committed.
fn expect_all_serve(group: &mut Group) {
    expect_that!(
        group.chain(),
        unordered_elements_are![eq(&1), eq(&2), eq(&3)]
    );
    expect_that!(group.contradictions, is_empty());
    let before = group.committed();
    expect_that!(group.write(), eq(true));
    group.run(200);
    expect_that!(group.committed(), gt(before));
}

#[googletest::test]
fn given_an_old_copy_when_the_others_serve_then_its_machine_rejoins_with_an_empty_disk() {
    for address in 1..=3 {
        let mut group = group_with_copies();
        put_back(&mut group, address);
        group.run(3000);
        expect_that!(group.superseded, elements_are![eq(&address)]);
        expect_that!(group.replica(address).own().member.disk, not(eq(0)));
        expect_all_serve(&mut group);
    }
}

#[googletest::test]
fn given_a_disk_that_has_all_when_its_machine_starts_again_then_it_is_no_old_copy() {
    let mut group = group_with_copies();
    for round in 0..3 {
        for address in 1..=3 {
            match round {
                0 => group.kill_replica(address),
                _ => group.stop_replica(address),
            }
            group.run(800);
            group.start_replica(address);
            group.run(1500);
        }
        for address in 1..=3 {
            group.stop_replica(address);
        }
        for address in 1..=3 {
            group.start_replica(address);
        }
        group.run(2000);
        write_some(&mut group);
    }
    expect_that!(group.superseded, is_empty());
    expect_all_serve(&mut group);
}

#[googletest::test]
fn given_an_old_copy_when_all_have_lost_power_then_what_the_others_have_on_disk_tells_it() {
    // Given: a member is gone for a while, so that a view was agreed and written in after the copies
    let mut group = group_with_copies();
    group.stop_replica(3);
    group.run(1500);
    write_some(&mut group);
    group.stop_replica(1);
    group.stop_replica(2);
    // When: the head comes back from its copy, and nobody has anything in memory
    group.put_back(1);
    for address in 1..=3 {
        group.start_replica(address);
    }
    group.run(4000);
    // Then
    expect_that!(group.superseded, elements_are![eq(&1)]);
    expect_all_serve(&mut group);
}

#[googletest::test]
fn given_an_old_copy_when_too_few_serve_without_it_then_it_does_not_vote_and_its_disk_is_retained()
{
    // Given: only one that knows better is up
    let mut group = group_with_copies();
    group.stop_replica(3);
    group.stop_replica(1);
    group.put_back(1);
    let before = group.view();
    // When
    group.start_replica(1);
    group.run(5000);
    // Then: the two that are up agree on nothing, and nothing is thrown away
    expect_that!(group.view(), eq(before));
    expect_that!(group.superseded, is_empty());
    expect_that!(group.replica(1).own().member.disk, eq(0));
    // When the third one is back, the cluster goes on, and the copy is given up.
    group.start_replica(3);
    group.run(4000);
    expect_that!(group.superseded, elements_are![eq(&1)]);
    expect_all_serve(&mut group);
}

#[googletest::test]
fn given_a_copy_of_a_running_machine_when_both_have_the_same_start_number_then_it_is_recognised() {
    // Given: the copy is of the first process; the disk has seen a second one
    let mut group = group_with_copies();
    group.kill_replica(2);
    group.run(800);
    group.start_replica(2);
    group.run(1500);
    // When: the process on the copy counts as the second one too, and has all entries
    put_back(&mut group, 2);
    group.run(3000);
    // Then
    expect_that!(group.superseded, elements_are![eq(&2)]);
    expect_all_serve(&mut group);
}
