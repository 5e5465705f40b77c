//! Disks that are restored from old copies, with the identity of the disk that was copied. The other replicas must
//! detect the stale disk, because it lacks votes and entries that its member has acknowledged.
mod common;

use common::{group::Group, heartbeat, no_state, settings, started, NoState};
use googletest::prelude::*;
use magpiegap_control::{DurableState, Output, Replica};
use magpiegap_protocol::{
    DiskNote, DiskProgress, DiskReport, Heartbeat, LogIndex, LogPosition, Member, PeerMessage,
    ReplicaId, StaleDisk, View, ViewNumber, WallMillis,
};

/// A group of three whose disks were copied before the last entries were committed.
fn group_with_copies() -> Group {
    let mut group = Group::start(3, 1);
    for address in group.addresses() {
        group.copy_disk(address);
    }
    commit_some_entries(&mut group);
    group
}

fn commit_some_entries(group: &mut Group) {
    for _ in 0..5 {
        group.write();
        group.run(100);
    }
}

/// Stops a machine, restores its disk from the copy, and starts it again.
fn restart_from_copy(group: &mut Group, address: u32) {
    group.stop_replica(address);
    group.run(800);
    group.restore_disk(address);
    group.start_replica(address);
}

/// All replicas are in the chain, no entry was replaced, and writes are committed.
fn expect_all_serve(group: &mut Group) {
    expect_that!(
        group.chain(),
        unordered_elements_are![eq(&1), eq(&2), eq(&3)]
    );
    expect_that!(group.conflicts, is_empty());
    let before = group.committed();
    expect_that!(group.write(), eq(true));
    group.run(200);
    expect_that!(group.committed(), gt(before));
}

#[googletest::test]
fn stale_disk_is_wiped_while_others_serve() {
    for address in 1..=3 {
        let mut group = group_with_copies();
        restart_from_copy(&mut group, address);
        group.run(3000);
        expect_that!(group.superseded, elements_are![eq(&address)]);
        expect_that!(group.replica(address).own().member.disk, not(eq(0)));
        expect_all_serve(&mut group);
    }
}

#[googletest::test]
fn complete_disk_is_not_stale_after_restart() {
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
        commit_some_entries(&mut group);
    }
    expect_that!(group.superseded, is_empty());
    expect_all_serve(&mut group);
}

#[googletest::test]
fn stale_disk_is_detected_after_power_loss() {
    for (address, copied_after_ms) in [(1, 0), (2, 0), (1, 1000), (2, 1000)] {
        // Given: a member stops, and the others commit entries in a view without it
        let mut group = group_with_copies();
        group.stop_replica(3);
        group.run(1500);
        commit_some_entries(&mut group);
        // A copy taken in that view lacks only entries, and no votes.
        if copied_after_ms > 0 {
            group.copy_disk(address);
            group.run(copied_after_ms);
            commit_some_entries(&mut group);
        }
        group.stop_replica(1);
        group.stop_replica(2);
        // When: all restart, one of them from its copy, so that only notes on disk are left
        group.restore_disk(address);
        for address in 1..=3 {
            group.start_replica(address);
        }
        group.run(4000);
        // Then
        expect_that!(group.superseded, elements_are![eq(&address)]);
        expect_all_serve(&mut group);
    }
}

#[googletest::test]
fn needed_stale_disk_is_retained_without_voting() {
    // Given: only one replica that can detect the stale disk is running
    let mut group = group_with_copies();
    group.stop_replica(3);
    group.stop_replica(1);
    group.restore_disk(1);
    let before = group.view();
    // When
    group.start_replica(1);
    group.run(5000);
    // Then: the two running replicas decide no view, and the disk is not wiped
    expect_that!(group.view(), eq(before));
    expect_that!(group.superseded, is_empty());
    expect_that!(group.replica(1).own().member.disk, eq(0));
    // When the third replica is back, the group serves again, and the stale disk is wiped.
    group.start_replica(3);
    group.run(4000);
    expect_that!(group.superseded, elements_are![eq(&1)]);
    expect_all_serve(&mut group);
}

#[googletest::test]
fn stale_disk_with_equal_start_number_is_detected() {
    // Given: the copy is from the first process on the disk, and a second one has started since
    let mut group = group_with_copies();
    group.kill_replica(2);
    group.run(800);
    group.start_replica(2);
    group.run(1500);
    // When: the process on the copy counts as the second one too, and so has the same start number
    restart_from_copy(&mut group, 2);
    group.run(3000);
    // Then
    expect_that!(group.superseded, elements_are![eq(&2)]);
    expect_all_serve(&mut group);
}

fn replica(address: u32, incarnation: u64) -> ReplicaId {
    ReplicaId {
        member: Member { address, disk: 0 },
        incarnation,
    }
}

/// The first of three replicas.
fn first_replica() -> Replica {
    let voters = (1..=3).map(|address| replica(address, 0).member).collect();
    let disk = DurableState::empty(0, Some(ViewNumber(0)), voters, no_state());
    started(settings(replica(1, 1), vec![1, 2, 3]), disk)
}

fn progress(view: u64, index: u64) -> DiskProgress {
    let view = ViewNumber(view);
    DiskProgress {
        view,
        committed: LogPosition {
            view,
            index: LogIndex(index),
        },
        ..DiskProgress::default()
    }
}

fn heartbeat_of_disk(starts: u64, at_start: DiskProgress, confirmed: DiskProgress) -> PeerMessage {
    let report = DiskReport {
        starts,
        at_start,
        confirmed,
    };
    PeerMessage::Heartbeat(Heartbeat {
        disk: Some(Box::new(report)),
        ..heartbeat(0)
    })
}

/// The processes to which objections are sent.
fn objections(outputs: &[Output]) -> Vec<ReplicaId> {
    let objection = |output: &Output| match output {
        Output::Send {
            message: PeerMessage::StaleDisk(objection),
            ..
        } => Some(objection.replica),
        _ => None,
    };
    outputs.iter().filter_map(objection).collect()
}

#[googletest::test]
fn process_is_rejected_unless_it_follows_noted_progress() {
    // Noted: the second start on the disk, which read entry 5 and has confirmed entry 9 since.
    let (initial_progress, noted_progress) = (progress(1, 5), progress(1, 9));
    let cases = [
        ("the same process", 7, 2, initial_progress, false),
        (
            "the next start, with the noted progress",
            8,
            3,
            noted_progress,
            false,
        ),
        (
            "a later start, with more progress",
            8,
            6,
            progress(2, 12),
            false,
        ),
        (
            "the next start, with less progress",
            8,
            3,
            progress(1, 8),
            true,
        ),
        (
            "another process with the same start number",
            8,
            2,
            noted_progress,
            true,
        ),
        ("an earlier start", 8, 1, noted_progress, true),
    ];
    for (name, incarnation, starts, at_start, is_stale) in cases {
        let mut first = first_replica();
        let noted = heartbeat_of_disk(2, initial_progress, noted_progress);
        first.handle_message(10, WallMillis(10), replica(2, 7), noted, &mut NoState);
        first.poll_outputs();
        let other = replica(2, incarnation);
        let next = heartbeat_of_disk(starts, at_start, at_start);
        first.handle_message(20, WallMillis(20), other, next, &mut NoState);
        let expected: Vec<ReplicaId> = is_stale.then_some(other).into_iter().collect();
        expect_that!(objections(&first.poll_outputs()), eq(&expected), "{name}");
    }
}

#[googletest::test]
fn temporary_downgrade_does_not_make_disk_stale() {
    // Given: the previous build does not count starts, and its writes discard the count on the disk
    let mut first = first_replica();
    let initial_progress = progress(1, 5);
    let noted = heartbeat_of_disk(4, initial_progress, progress(1, 9));
    first.handle_message(10, WallMillis(10), replica(2, 7), noted, &mut NoState);
    let from_previous_build = PeerMessage::Heartbeat(heartbeat(0));
    first.handle_message(
        20,
        WallMillis(20),
        replica(2, 8),
        from_previous_build,
        &mut NoState,
    );
    first.poll_outputs();
    // When
    let next = heartbeat_of_disk(1, progress(1, 9), progress(1, 9));
    first.handle_message(30, WallMillis(30), replica(2, 9), next, &mut NoState);
    // Then
    expect_that!(objections(&first.poll_outputs()), is_empty());
}

#[googletest::test]
fn replica_with_stale_disk_does_not_become_head() {
    for (name, objected_to, leads) in [
        ("an earlier process", replica(1, 99), true),
        ("this process", replica(1, 1), false),
    ] {
        let mut first = first_replica();
        let objection = StaleDisk {
            replica: objected_to,
            noted: DiskNote {
                member: objected_to.member,
                starts: 5,
                incarnation: 4,
                progress: progress(1, 9),
            },
            view: ViewNumber(0),
            serving: false,
        };
        let objection = PeerMessage::StaleDisk(Box::new(objection));
        first.handle_message(10, WallMillis(10), replica(2, 2), objection, &mut NoState);
        let voters: Vec<Member> = (1..=3).map(|address| replica(address, 0).member).collect();
        let chain = vec![replica(1, 1), replica(2, 2)];
        let view = View::initial(voters.clone()).next(voters, chain);
        let decided = PeerMessage::Decided(view);
        first.handle_message(20, WallMillis(20), replica(2, 2), decided, &mut NoState);
        expect_that!(first.is_head(), eq(leads), "{name}");
    }
}
