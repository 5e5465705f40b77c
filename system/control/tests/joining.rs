//! A replica that joins requests what is missing from its predecessor, and does not keep it from its work.
mod common;

use common::{no_state, settings, started, NoState};
use googletest::prelude::*;
use magpiegap_control::{DurableRecord, DurableState, Output, Replica};
use magpiegap_protocol::{
    fnv1a, Command, Entry, LogIndex, LogPosition, Member, PeerMessage, ProposalId, ReplicaId, View,
    ViewNumber, WallMillis,
};

fn replica(address: u32, disk: u64) -> ReplicaId {
    ReplicaId {
        member: Member { address, disk },
        incarnation: u64::from(address),
    }
}

fn entry(index: u64) -> Entry {
    Entry {
        position: LogPosition {
            view: ViewNumber(1),
            index: LogIndex(index),
        },
        proposal: ProposalId {
            origin: replica(1, 0),
            sequence: index,
        },
        role_token: None,
        command: Command::Noop,
        wall_ms: WallMillis(0),
    }
}

/// The middle one of a chain of three, with the state of the head, and its successor served.
fn middle_replica() -> Replica {
    let (head, own, tail) = (replica(1, 0), replica(2, 7), replica(3, 8));
    let mut middle = started(
        settings(own, vec![1]),
        DurableState::empty(7, None, Vec::new(), no_state()),
    );
    let view = View::initial(vec![head.member]).next(vec![head.member], vec![head, own, tail]);
    middle.handle_messages(
        0,
        WallMillis(0),
        head,
        PeerMessage::Decided(view),
        &mut NoState,
    );
    send_snapshot(&mut middle, 10, 1, vec![entry(1)]);
    let request = PeerMessage::RequestEntries {
        view: ViewNumber(1),
        last: LogPosition::default(),
    };
    middle.handle_messages(20, WallMillis(0), tail, request, &mut NoState);
    middle.flush(20, &mut NoState);
    middle.poll_outputs();
    middle
}

/// The head sends a replica an empty snapshot, and the entries after it.
fn send_snapshot(to: &mut Replica, now: u64, view: u64, entries: Vec<Entry>) {
    let (head, position) = (replica(1, 0), LogPosition::default());
    to.handle_messages(
        now,
        WallMillis(0),
        head,
        PeerMessage::SnapshotOffer {
            view: ViewNumber(view),
            position,
            chunks: 1,
        },
        &mut NoState,
    );
    let chunk = PeerMessage::SnapshotChunk {
        view: ViewNumber(view),
        position,
        number: 0,
        checksum: fnv1a(&[]),
        bytes: Vec::new(),
    };
    to.handle_messages(now, WallMillis(0), head, chunk, &mut NoState);
    let missing = PeerMessage::MissingEntries {
        view: ViewNumber(view),
        after: LogIndex(0),
        entries,
        more: false,
    };
    to.handle_messages(now, WallMillis(0), head, missing, &mut NoState);
}

fn appends(outputs: &[Output]) -> Vec<u64> {
    let appended = |output: &Output| match output {
        Output::Send {
            to: 3,
            message: PeerMessage::Append { entries, .. },
        } => entries.iter().map(|entry| entry.position.index.0).collect(),
        _ => Vec::new(),
    };
    outputs.iter().flat_map(appended).collect()
}

#[googletest::test]
fn given_a_snapshot_that_comes_twice_when_entries_follow_then_they_are_still_replicated() {
    // Given
    let mut middle = middle_replica();
    // When
    send_snapshot(&mut middle, 30, 1, vec![entry(1)]);
    let append = PeerMessage::Append {
        view: ViewNumber(1),
        after: LogIndex(1),
        entries: vec![entry(2)],
        durable: LogIndex(2),
    };
    middle.handle_messages(40, WallMillis(0), replica(1, 0), append, &mut NoState);
    middle.flush(40, &mut NoState);
    // Then
    expect_that!(appends(&middle.poll_outputs()), elements_are![eq(&2)]);
}

#[googletest::test]
fn given_an_active_replica_when_its_predecessor_sends_nothing_then_it_requests_what_is_missing() {
    let mut middle = middle_replica();
    let is_request = |output: &Output| {
        matches!(
            output,
            Output::Send {
                to: 1,
                message: PeerMessage::RequestEntries { .. }
            }
        )
    };
    let mut requested = 0;
    for now in (40..2000).step_by(20) {
        middle.on_timeout(now, WallMillis(now), &mut NoState);
        requested += middle
            .poll_outputs()
            .iter()
            .filter(|output| is_request(output))
            .count();
        expect_that!(requested == 0 || now >= 600, eq(true));
    }
    expect_that!(requested, ge(1));
}

#[googletest::test]
fn given_a_replica_that_caught_up_slowly_when_it_misses_entries_again_then_its_backoff_is_short() {
    // Given: it had to send several requests for what it missed
    let mut middle = middle_replica();
    let gap = |after: u64| PeerMessage::Append {
        view: ViewNumber(1),
        after: LogIndex(after),
        entries: Vec::new(),
        durable: LogIndex(after),
    };
    for now in (1000..4000).step_by(20) {
        middle.handle_messages(now, WallMillis(0), replica(1, 0), gap(5), &mut NoState);
    }
    let missing = PeerMessage::MissingEntries {
        view: ViewNumber(1),
        after: LogIndex(1),
        entries: (2..=5).map(entry).collect(),
        more: false,
    };
    middle.handle_messages(4000, WallMillis(0), replica(1, 0), missing, &mut NoState);
    middle.poll_outputs();
    // When
    middle.handle_messages(4100, WallMillis(0), replica(1, 0), gap(7), &mut NoState);
    // Then
    let is_request = |output: &Output| {
        matches!(
            output,
            Output::Send {
                to: 1,
                message: PeerMessage::RequestEntries { .. }
            }
        )
    };
    expect_that!(middle.poll_outputs().iter().any(is_request), eq(true));
}

/// The durable index last sent to the successor.
fn advertised_durable(outputs: &[Output]) -> u64 {
    let faults = |output: &Output| match output {
        Output::Send {
            to: 3,
            message: PeerMessage::Append { durable, .. },
        } => Some(*durable),
        _ => None,
    };
    outputs
        .iter()
        .filter_map(faults)
        .next_back()
        .unwrap_or(LogIndex::default())
        .0
}

#[googletest::test]
fn given_entries_in_flight_to_the_disk_when_a_snapshot_replaces_them_then_they_do_not_count_as_durable(
) {
    // Given: entries of view 1 are submitted to the disk, which is slow
    let mut middle = middle_replica();
    let append = PeerMessage::Append {
        view: ViewNumber(1),
        after: LogIndex(1),
        entries: vec![entry(2), entry(3)],
        durable: LogIndex(3),
    };
    middle.handle_messages(30, WallMillis(0), replica(1, 0), append, &mut NoState);
    middle.flush(30, &mut NoState);
    let outputs = middle.poll_outputs();
    let ticket = outputs.iter().find_map(|output| match output {
        Output::Persist { ticket, records }
            if matches!(records[..], [DurableRecord::Entries(_), ..]) =>
        {
            Some(*ticket)
        }
        _ => None,
    });
    // When: the head of the next view never had them, and others come in their place
    let (head, own, tail) = (replica(1, 0), replica(2, 7), replica(3, 8));
    let view = View::initial(vec![head.member])
        .next(vec![head.member], vec![head, own, tail])
        .next(vec![head.member], vec![head, own, tail]);
    middle.handle_messages(
        40,
        WallMillis(0),
        head,
        PeerMessage::Decided(view),
        &mut NoState,
    );
    send_snapshot(&mut middle, 50, 2, vec![entry(1)]);
    let request = PeerMessage::RequestEntries {
        view: ViewNumber(2),
        last: LogPosition {
            view: ViewNumber(1),
            index: LogIndex(1),
        },
    };
    middle.handle_messages(60, WallMillis(0), tail, request, &mut NoState);
    let other = Entry {
        position: LogPosition {
            view: ViewNumber(2),
            index: LogIndex(2),
        },
        ..entry(2)
    };
    let append = PeerMessage::Append {
        view: ViewNumber(2),
        after: LogIndex(1),
        entries: vec![other],
        durable: LogIndex(2),
    };
    middle.handle_messages(70, WallMillis(0), head, append, &mut NoState);
    middle.poll_outputs();
    middle.handle_persisted(ticket.unwrap_or_default(), 80, &mut NoState);
    middle.on_timeout(300, WallMillis(300), &mut NoState);
    // Then
    expect_that!(advertised_durable(&middle.poll_outputs()), eq(0));
}

#[googletest::test]
fn given_a_slow_predecessor_when_a_replica_joins_then_its_requests_back_off() {
    // Given: a replica with an empty disk, in a chain behind one that does not respond
    let (head, own) = (replica(1, 0), replica(2, 7));
    let empty = DurableState::empty(7, None, Vec::new(), no_state());
    let mut joining = started(settings(own, vec![1]), empty);
    let view = View::initial(vec![head.member]).next(vec![head.member], vec![head, own]);
    joining.handle_messages(
        0,
        WallMillis(0),
        head,
        PeerMessage::Decided(view),
        &mut NoState,
    );
    // When
    let mut requested_at = Vec::new();
    for now in (0..6000).step_by(20) {
        joining.on_timeout(now, WallMillis(now), &mut NoState);
        let is_request = |output: &Output| {
            matches!(
                output,
                Output::Send {
                    message: PeerMessage::RequestEntries { .. },
                    ..
                }
            )
        };
        if joining.poll_outputs().iter().any(is_request) {
            requested_at.push(now);
        }
    }
    // Then
    expect_that!(requested_at.first(), some(eq(&0)));
    expect_that!(requested_at.len(), le(8));
    expect_that!(requested_at.len(), ge(4));
    let intervals: Vec<u64> = requested_at
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .collect();
    expect_that!(intervals.is_sorted(), eq(true), "{intervals:?}");
    expect_that!(intervals.last(), some(le(&2020)));
}

/// What a replica sends to the successor of the middle one.
fn sent_to_tail(outputs: Vec<Output>) -> Vec<PeerMessage> {
    let to_tail = |output| match output {
        Output::Send { to: 3, message } => Some(message),
        _ => None,
    };
    outputs.into_iter().filter_map(to_tail).collect()
}

#[googletest::test]
fn given_a_successor_whose_entries_do_not_fit_when_it_retries_then_only_an_offer_is_sent_again() {
    // Given: a successor whose last entry the middle one does not know
    let mut middle = middle_replica();
    let request = PeerMessage::RequestEntries {
        view: ViewNumber(1),
        last: LogPosition {
            view: ViewNumber(0),
            index: LogIndex(9),
        },
    };
    // When
    for now in [30, 90, 200, 450] {
        middle.handle_messages(
            now,
            WallMillis(0),
            replica(3, 8),
            request.clone(),
            &mut NoState,
        );
        let sent = sent_to_tail(middle.poll_outputs());
        // Then
        expect_that!(
            sent,
            elements_are![matches_pattern!(PeerMessage::SnapshotOffer {
                chunks: eq(&1),
                ..
            })]
        );
    }
}

#[googletest::test]
fn given_a_snapshot_that_has_expired_when_a_chunk_of_it_is_requested_then_another_one_is_offered() {
    let mut middle = middle_replica();
    let position = LogPosition {
        view: ViewNumber(0),
        index: LogIndex(5),
    };
    let request = PeerMessage::RequestSnapshotChunk {
        view: ViewNumber(1),
        position,
        number: 3,
    };
    middle.handle_messages(30, WallMillis(0), replica(3, 8), request, &mut NoState);
    let sent = sent_to_tail(middle.poll_outputs());
    expect_that!(
        sent,
        elements_are![matches_pattern!(PeerMessage::SnapshotOffer {
            chunks: eq(&1),
            ..
        })]
    );
}

#[googletest::test]
fn given_a_corrupt_chunk_when_it_arrives_then_the_snapshot_is_requested_anew() {
    // Given: a replica in the chain that is offered a snapshot of two chunks
    let (head, own) = (replica(1, 0), replica(2, 7));
    let mut joining = started(
        settings(own, vec![1]),
        DurableState::empty(7, None, Vec::new(), no_state()),
    );
    let view = View::initial(vec![head.member]).next(vec![head.member], vec![head, own]);
    joining.handle_messages(
        0,
        WallMillis(0),
        head,
        PeerMessage::Decided(view),
        &mut NoState,
    );
    let position = LogPosition {
        view: ViewNumber(0),
        index: LogIndex(4),
    };
    joining.handle_messages(
        10,
        WallMillis(0),
        head,
        PeerMessage::SnapshotOffer {
            view: ViewNumber(1),
            position,
            chunks: 2,
        },
        &mut NoState,
    );
    joining.poll_outputs();
    // When
    let chunk = PeerMessage::SnapshotChunk {
        view: ViewNumber(1),
        position,
        number: 0,
        checksum: 1,
        bytes: vec![7],
    };
    joining.handle_messages(20, WallMillis(0), head, chunk, &mut NoState);
    joining.on_timeout(400, WallMillis(400), &mut NoState);
    // Then
    let is_request = |output: &Output| {
        matches!(
            output,
            Output::Send {
                to: 1,
                message: PeerMessage::RequestEntries { .. }
            }
        )
    };
    expect_that!(joining.poll_outputs().iter().any(is_request), eq(true));
}

#[googletest::test]
fn given_a_learner_that_has_caught_up_when_the_tail_tells_what_is_durable_then_only_a_long_enough_chain_commits_it(
) {
    let (head, second, own) = (replica(1, 0), replica(2, 7), replica(3, 8));
    // One machine may be lost: what is on one disk only is not committed.
    for (chain, committed) in [(vec![head], 0), (vec![second, head], 3)] {
        let disk = DurableState::empty(8, None, Vec::new(), no_state());
        let mut learner = started(settings(own, vec![1]), disk);
        let view = View::initial(vec![head.member]).next(vec![head.member], chain.clone());
        let decided = PeerMessage::Decided(view);
        learner.handle_messages(0, WallMillis(0), head, decided, &mut NoState);
        let missing = PeerMessage::MissingEntries {
            view: ViewNumber(1),
            after: LogIndex(0),
            entries: vec![entry(1)],
            more: false,
        };
        learner.handle_messages(10, WallMillis(0), head, missing, &mut NoState);
        let append = PeerMessage::Append {
            view: ViewNumber(1),
            after: LogIndex(1),
            entries: vec![entry(2), entry(3)],
            durable: LogIndex(3),
        };
        learner.handle_messages(20, WallMillis(0), head, append, &mut NoState);
        expect_that!(learner.commit_index().0, eq(committed), "{chain:?}");
    }
}
