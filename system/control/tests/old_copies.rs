//! A disk that is put back from an old copy, under the name of the one that went on: who recognises it, and what becomes of
//! its member.
mod common;

use common::{group::Group, heartbeat, no_state, settings, started, NoState};
use googletest::prelude::*;
use magpiegap_control::{DurableState, Output, Replica};
use magpiegap_protocol::{
    DiskNote, DiskProgress, DiskReport, Heartbeat, LogIndex, LogPosition, Member, PeerMessage,
    ReplicaId, StaleDisk, View, ViewNumber, WallMillis,
};

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
    for (address, copied_after_ms) in [(1, 0), (2, 0), (1, 1000), (2, 1000)] {
        // Given: a member goes, and the others agree on a view without it and write in it
        let mut group = group_with_copies();
        group.stop_replica(3);
        group.run(1500);
        write_some(&mut group);
        // A copy of that view lacks only entries; nothing was voted on since.
        if copied_after_ms > 0 {
            group.copy_disk(address);
            group.run(copied_after_ms);
            write_some(&mut group);
        }
        group.stop_replica(1);
        group.stop_replica(2);
        // When: one comes back from its copy, and nobody has anything in memory
        group.put_back(address);
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

/// The processes that are objected to.
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
fn a_process_is_objected_to_when_it_can_not_have_started_after_what_was_noted_of_its_disk() {
    // Noted: the second start, which began with entry 5 and has confirmed entry 9 since.
    let (begun, come) = (progress(1, 5), progress(1, 9));
    let cases = [
        ("the same process", 7, 2, begun, false),
        ("the next start, with all", 8, 3, come, false),
        ("a later start, with more", 8, 6, progress(2, 12), false),
        ("the next start, with less", 8, 3, progress(1, 8), true),
        ("another process of the same start", 8, 2, come, true),
        ("a start before", 8, 1, come, true),
    ];
    for (name, incarnation, starts, at_start, is_stale) in cases {
        let mut first = first_replica();
        let noted = heartbeat_of_disk(2, begun, come);
        first.handle_messages(10, WallMillis(10), replica(2, 7), noted, &mut NoState);
        first.poll_outputs();
        let other = replica(2, incarnation);
        let next = heartbeat_of_disk(starts, at_start, at_start);
        first.handle_messages(20, WallMillis(20), other, next, &mut NoState);
        let expected: Vec<ReplicaId> = is_stale.then_some(other).into_iter().collect();
        expect_that!(objections(&first.poll_outputs()), eq(&expected), "{name}");
    }
}

#[googletest::test]
fn a_machine_that_was_at_the_build_before_for_a_while_is_not_objected_to() {
    // Given: the build before keeps no count of starts, and writes the disk without the one that was on it
    let mut first = first_replica();
    let begun = progress(1, 5);
    let noted = heartbeat_of_disk(4, begun, progress(1, 9));
    first.handle_messages(10, WallMillis(10), replica(2, 7), noted, &mut NoState);
    let of_build_before = PeerMessage::Heartbeat(heartbeat(0));
    first.handle_messages(
        20,
        WallMillis(20),
        replica(2, 8),
        of_build_before,
        &mut NoState,
    );
    first.poll_outputs();
    // When
    let next = heartbeat_of_disk(1, progress(1, 9), progress(1, 9));
    first.handle_messages(30, WallMillis(30), replica(2, 9), next, &mut NoState);
    // Then
    expect_that!(objections(&first.poll_outputs()), is_empty());
}

#[googletest::test]
fn a_replica_whose_disk_was_objected_to_leads_no_chain() {
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
        first.handle_messages(10, WallMillis(10), replica(2, 2), objection, &mut NoState);
        let voters: Vec<Member> = (1..=3).map(|address| replica(address, 0).member).collect();
        let chain = vec![replica(1, 1), replica(2, 2)];
        let view = View::initial(voters.clone()).next(voters, chain);
        let decided = PeerMessage::Decided(view);
        first.handle_messages(20, WallMillis(20), replica(2, 2), decided, &mut NoState);
        expect_that!(first.is_head(), eq(leads), "{name}");
    }
}
