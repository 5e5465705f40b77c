//! Snapshot transfer: a replica that can't be sent entries is sent a snapshot, chunk by chunk.
mod common;

use common::{no_state, settings, started, NoState};
use googletest::prelude::*;
use magpiegap_control::{DurableState, Output, Replica};
use magpiegap_protocol::{
    fnv1a, Command, Entry, LogIndex, LogPosition, Member, PeerMessage, ProposalId, ReplicaId, View,
    ViewNumber, WallMillis,
};

/// Chunks of the snapshot.
const CHUNKS: u32 = 10;
/// The last entry in the snapshot.
const STATE: LogPosition = LogPosition {
    view: ViewNumber(1),
    index: LogIndex(50),
};

fn replica(address: u32, disk: u64) -> ReplicaId {
    ReplicaId {
        member: Member { address, disk },
        incarnation: u64::from(address),
    }
}

fn entry(view: u64, index: u64) -> Entry {
    let proposal = ProposalId {
        origin: replica(1, 0),
        sequence: index,
    };
    Entry {
        position: LogPosition {
            view: ViewNumber(view),
            index: LogIndex(index),
        },
        proposal,
        role_token: None,
        command: Command::Noop,
        wall_ms: WallMillis(0),
    }
}

/// A view with a chain of head and tail; the learner is outside of it.
fn view(number: u64) -> View {
    let chain = vec![replica(1, 0), replica(2, 0)];
    let voters: Vec<Member> = chain.iter().map(|replica| replica.member).collect();
    (0..number).fold(View::initial(voters.clone()), |view, _| {
        view.next(voters.clone(), chain.clone())
    })
}

/// A replica with an empty disk outside of the chain, to which the tail has offered a snapshot.
fn learner() -> Replica {
    let own = replica(3, 7);
    let mut learner = started(
        settings(own, vec![1]),
        DurableState::empty(7, None, Vec::new(), no_state()),
    );
    learner.handle_messages(
        0,
        WallMillis(0),
        replica(1, 0),
        PeerMessage::Decided(view(2)),
        &mut NoState,
    );
    learner.handle_messages(10, WallMillis(0), tail(), offer(2), &mut NoState);
    learner
}

fn tail() -> ReplicaId {
    replica(2, 0)
}

fn offer(view: u64) -> PeerMessage {
    PeerMessage::SnapshotOffer {
        view: ViewNumber(view),
        position: STATE,
        chunks: CHUNKS,
    }
}

fn chunk(view: u64, number: u32) -> PeerMessage {
    let bytes = vec![number as u8];
    PeerMessage::SnapshotChunk {
        view: ViewNumber(view),
        position: STATE,
        number,
        checksum: fnv1a(&bytes),
        bytes,
    }
}

/// The chunks that a replica requests.
fn requested(replica: &mut Replica) -> Vec<u32> {
    let chunk_number = |output| match output {
        Output::Send {
            to: 2,
            message: PeerMessage::RequestSnapshotChunk { number, .. },
        } => Some(number),
        _ => None,
    };
    replica
        .poll_outputs()
        .into_iter()
        .filter_map(chunk_number)
        .collect()
}

/// After which entry a replica requests more.
fn requested_after(outputs: &[Output]) -> Option<u64> {
    outputs.iter().rev().find_map(|output| match output {
        Output::Send {
            to: 2,
            message: PeerMessage::RequestEntries { last, .. },
        } => Some(last.index.0),
        _ => None,
    })
}

/// How many entries after the state each checkpoint holds.
fn checkpoints(outputs: &[Output]) -> Vec<usize> {
    let entries = |output: &Output| match output {
        Output::Checkpoint { snapshot, .. } => Some(snapshot.entries.len()),
        _ => None,
    };
    outputs.iter().filter_map(entries).collect()
}

#[googletest::test]
fn given_an_offered_snapshot_when_chunks_come_then_a_few_are_in_flight_at_a_time() {
    let mut learner = learner();
    expect_that!(
        requested(&mut learner),
        elements_are![eq(&0), eq(&1), eq(&2), eq(&3)]
    );
    learner.handle_messages(20, WallMillis(0), tail(), chunk(2, 0), &mut NoState);
    expect_that!(requested(&mut learner), elements_are![eq(&4)]);
    // One that comes again, or too soon, is passed over.
    learner.handle_messages(21, WallMillis(0), tail(), chunk(2, 0), &mut NoState);
    learner.handle_messages(22, WallMillis(0), tail(), chunk(2, 3), &mut NoState);
    expect_that!(requested(&mut learner), is_empty());
}

#[googletest::test]
fn given_chunks_that_were_lost_when_time_passes_then_they_are_requested_again() {
    let mut learner = learner();
    learner.handle_messages(20, WallMillis(0), tail(), chunk(2, 0), &mut NoState);
    learner.handle_messages(21, WallMillis(0), tail(), chunk(2, 1), &mut NoState);
    learner.poll_outputs();
    learner.on_timeout(200, WallMillis(200), &mut NoState);
    expect_that!(
        requested(&mut learner),
        elements_are![eq(&2), eq(&3), eq(&4), eq(&5)]
    );
}

#[googletest::test]
fn given_a_change_of_the_view_when_the_same_snapshot_is_offered_then_its_transfer_resumes() {
    let mut learner = learner();
    for number in 0..6 {
        learner.handle_messages(20, WallMillis(0), tail(), chunk(2, number), &mut NoState);
    }
    learner.poll_outputs();
    learner.handle_messages(
        30,
        WallMillis(0),
        replica(1, 0),
        PeerMessage::Decided(view(3)),
        &mut NoState,
    );
    learner.handle_messages(31, WallMillis(0), tail(), offer(3), &mut NoState);
    expect_that!(
        requested(&mut learner),
        elements_are![eq(&6), eq(&7), eq(&8), eq(&9)]
    );
}

#[googletest::test]
fn given_all_chunks_when_entries_are_missing_then_the_snapshot_is_installed_only_once_they_are_there(
) {
    let mut learner = learner();
    for number in 0..CHUNKS {
        learner.handle_messages(20, WallMillis(0), tail(), chunk(2, number), &mut NoState);
    }
    let outputs = learner.poll_outputs();
    expect_that!(checkpoints(&outputs), is_empty());
    expect_that!(requested_after(&outputs), some(eq(50)));
    let entries: Vec<Entry> = (51..=60).map(|index| entry(1, index)).collect();
    let some_of_them = PeerMessage::MissingEntries {
        view: ViewNumber(2),
        after: LogIndex(50),
        entries,
        more: true,
    };
    learner.handle_messages(30, WallMillis(0), tail(), some_of_them, &mut NoState);
    let outputs = learner.poll_outputs();
    expect_that!(checkpoints(&outputs), is_empty());
    expect_that!(requested_after(&outputs), some(eq(60)));
    let entries = vec![entry(2, 61)];
    let rest = PeerMessage::MissingEntries {
        view: ViewNumber(2),
        after: LogIndex(60),
        entries,
        more: false,
    };
    learner.handle_messages(40, WallMillis(0), tail(), rest, &mut NoState);
    expect_that!(checkpoints(&learner.poll_outputs()), elements_are![eq(&11)]);
    // From now on it takes entries as they come.
    let append = PeerMessage::Append {
        view: ViewNumber(2),
        after: LogIndex(61),
        entries: vec![entry(2, 62)],
        durable: LogIndex(61),
    };
    learner.handle_messages(50, WallMillis(0), tail(), append, &mut NoState);
    expect_that!(learner.commit_index(), eq(LogIndex(61)));
}

#[googletest::test]
fn given_entries_after_the_snapshot_when_the_view_changes_then_they_are_requested_anew() {
    // Given: the old tail had an entry that was not committed
    let mut learner = learner();
    for number in 0..CHUNKS {
        learner.handle_messages(20, WallMillis(0), tail(), chunk(2, number), &mut NoState);
    }
    let entries = vec![entry(2, 51)];
    let some_of_them = PeerMessage::MissingEntries {
        view: ViewNumber(2),
        after: LogIndex(50),
        entries,
        more: true,
    };
    learner.handle_messages(30, WallMillis(0), tail(), some_of_them, &mut NoState);
    // When
    learner.handle_messages(
        40,
        WallMillis(0),
        replica(1, 0),
        PeerMessage::Decided(view(3)),
        &mut NoState,
    );
    learner.poll_outputs();
    learner.on_timeout(500, WallMillis(500), &mut NoState);
    // Then
    expect_that!(requested_after(&learner.poll_outputs()), some(eq(50)));
}
