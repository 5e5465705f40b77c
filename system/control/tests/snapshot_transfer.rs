//! Snapshot transfer: a replica whose missing entries are no longer in the source's log receives a snapshot, chunk by
//! chunk.
mod common;

use common::{no_state, settings, started, NoState};
use googletest::prelude::*;
use magpiegap_control::{DurableState, Output, Replica};
use magpiegap_protocol::{
    fnv1a, Command, Entry, LogIndex, LogPosition, Member, PeerMessage, ProposalId, ReplicaId, View,
    ViewNumber, WallMillis,
};

/// The number of chunks of the snapshot.
const CHUNKS: u32 = 10;
/// The last entry in the snapshot.
const SNAPSHOT_POSITION: LogPosition = LogPosition {
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

/// A view whose chain is the head and the tail. The learner is outside the chain.
fn view(number: u64) -> View {
    let chain = vec![replica(1, 0), replica(2, 0)];
    let voters: Vec<Member> = chain.iter().map(|replica| replica.member).collect();
    (0..number).fold(View::initial(voters.clone()), |view, _| {
        view.next(voters.clone(), chain.clone())
    })
}

/// A learner with an empty disk that the tail has offered a snapshot.
fn learner() -> Replica {
    let own = replica(3, 7);
    let mut learner = started(
        settings(own, vec![1]),
        DurableState::empty(7, None, Vec::new(), no_state()),
    );
    learner.handle_message(
        0,
        WallMillis(0),
        replica(1, 0),
        PeerMessage::Decided(view(2)),
        &mut NoState,
    );
    learner.handle_message(10, WallMillis(0), tail(), offer(2), &mut NoState);
    learner
}

fn tail() -> ReplicaId {
    replica(2, 0)
}

fn offer(view: u64) -> PeerMessage {
    PeerMessage::SnapshotOffer {
        view: ViewNumber(view),
        position: SNAPSHOT_POSITION,
        chunks: CHUNKS,
    }
}

fn chunk(view: u64, number: u32) -> PeerMessage {
    let bytes = vec![number as u8];
    PeerMessage::SnapshotChunk {
        view: ViewNumber(view),
        position: SNAPSHOT_POSITION,
        number,
        checksum: fnv1a(&bytes),
        bytes,
    }
}

/// The chunk numbers that a replica requests.
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

/// The last entry that a replica reports in its latest request for entries.
fn requested_after(outputs: &[Output]) -> Option<u64> {
    outputs.iter().rev().find_map(|output| match output {
        Output::Send {
            to: 2,
            message: PeerMessage::RequestEntries { last, .. },
        } => Some(last.index.0),
        _ => None,
    })
}

/// The number of log entries in each checkpoint.
fn checkpoints(outputs: &[Output]) -> Vec<usize> {
    let entries = |output: &Output| match output {
        Output::Checkpoint { snapshot, .. } => Some(snapshot.entries.len()),
        _ => None,
    };
    outputs.iter().filter_map(entries).collect()
}

#[googletest::test]
fn few_chunks_are_in_flight_at_once() {
    let mut learner = learner();
    expect_that!(
        requested(&mut learner),
        elements_are![eq(&0), eq(&1), eq(&2), eq(&3)]
    );
    learner.handle_message(20, WallMillis(0), tail(), chunk(2, 0), &mut NoState);
    expect_that!(requested(&mut learner), elements_are![eq(&4)]);
    // Repeated and out-of-order chunks are ignored.
    learner.handle_message(21, WallMillis(0), tail(), chunk(2, 0), &mut NoState);
    learner.handle_message(22, WallMillis(0), tail(), chunk(2, 3), &mut NoState);
    expect_that!(requested(&mut learner), is_empty());
}

#[googletest::test]
fn lost_chunks_are_requested_again() {
    let mut learner = learner();
    learner.handle_message(20, WallMillis(0), tail(), chunk(2, 0), &mut NoState);
    learner.handle_message(21, WallMillis(0), tail(), chunk(2, 1), &mut NoState);
    learner.poll_outputs();
    learner.on_timeout(200, WallMillis(200), &mut NoState);
    expect_that!(
        requested(&mut learner),
        elements_are![eq(&2), eq(&3), eq(&4), eq(&5)]
    );
}

#[googletest::test]
fn transfer_resumes_after_view_change() {
    let mut learner = learner();
    for number in 0..6 {
        learner.handle_message(20, WallMillis(0), tail(), chunk(2, number), &mut NoState);
    }
    learner.poll_outputs();
    learner.handle_message(
        30,
        WallMillis(0),
        replica(1, 0),
        PeerMessage::Decided(view(3)),
        &mut NoState,
    );
    learner.handle_message(31, WallMillis(0), tail(), offer(3), &mut NoState);
    expect_that!(
        requested(&mut learner),
        elements_are![eq(&6), eq(&7), eq(&8), eq(&9)]
    );
}

#[googletest::test]
fn snapshot_is_installed_only_with_following_entries() {
    let mut learner = learner();
    for number in 0..CHUNKS {
        learner.handle_message(20, WallMillis(0), tail(), chunk(2, number), &mut NoState);
    }
    let outputs = learner.poll_outputs();
    expect_that!(checkpoints(&outputs), is_empty());
    expect_that!(requested_after(&outputs), some(eq(50)));
    let entries: Vec<Entry> = (51..=60).map(|index| entry(1, index)).collect();
    let first_batch = PeerMessage::MissingEntries {
        view: ViewNumber(2),
        after: LogIndex(50),
        entries,
        more: true,
    };
    learner.handle_message(30, WallMillis(0), tail(), first_batch, &mut NoState);
    let outputs = learner.poll_outputs();
    expect_that!(checkpoints(&outputs), is_empty());
    expect_that!(requested_after(&outputs), some(eq(60)));
    let entries = vec![entry(2, 61)];
    let last_batch = PeerMessage::MissingEntries {
        view: ViewNumber(2),
        after: LogIndex(60),
        entries,
        more: false,
    };
    learner.handle_message(40, WallMillis(0), tail(), last_batch, &mut NoState);
    expect_that!(checkpoints(&learner.poll_outputs()), elements_are![eq(&11)]);
    // The learner accepts appends from now on.
    let append = PeerMessage::Append {
        view: ViewNumber(2),
        after: LogIndex(61),
        entries: vec![entry(2, 62)],
        durable: LogIndex(61),
    };
    learner.handle_message(50, WallMillis(0), tail(), append, &mut NoState);
    expect_that!(learner.commit_index(), eq(LogIndex(61)));
}

#[googletest::test]
fn view_change_discards_entries_after_snapshot() {
    // Given: an uncommitted entry after the snapshot was received from the old tail
    let mut learner = learner();
    for number in 0..CHUNKS {
        learner.handle_message(20, WallMillis(0), tail(), chunk(2, number), &mut NoState);
    }
    let entries = vec![entry(2, 51)];
    let first_batch = PeerMessage::MissingEntries {
        view: ViewNumber(2),
        after: LogIndex(50),
        entries,
        more: true,
    };
    learner.handle_message(30, WallMillis(0), tail(), first_batch, &mut NoState);
    // When
    learner.handle_message(
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
