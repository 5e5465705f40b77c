//! Entries that are appended, missing, or replaced.
use crate::common::{no_state, settings, started, NoState};
use crate::middle_replica::*;
use googletest::prelude::*;
use magpiegap_control::{DurableRecord, DurableState, Output};
use magpiegap_protocol::{Entry, LogIndex, LogPosition, PeerMessage, View, ViewNumber, WallMillis};

/// The indexes of the entries appended at the successor.
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
fn entries_are_replicated_after_repeated_snapshot() {
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
    middle.handle_message(40, WallMillis(0), replica(1, 0), append, &mut NoState);
    middle.flush(40, &mut NoState);
    // Then
    expect_that!(appends(&middle.poll_outputs()), elements_are![eq(&2)]);
}

#[googletest::test]
fn active_replica_requests_entries_after_source_timeout() {
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
fn backoff_is_short_again_after_catch_up() {
    // Given: several requests were needed to catch up, so that the backoff has grown
    let mut middle = middle_replica();
    let gap = |after: u64| PeerMessage::Append {
        view: ViewNumber(1),
        after: LogIndex(after),
        entries: Vec::new(),
        durable: LogIndex(after),
    };
    for now in (1000..4000).step_by(20) {
        middle.handle_message(now, WallMillis(0), replica(1, 0), gap(5), &mut NoState);
    }
    let missing = PeerMessage::MissingEntries {
        view: ViewNumber(1),
        after: LogIndex(1),
        entries: (2..=5).map(entry).collect(),
        more: false,
    };
    middle.handle_message(4000, WallMillis(0), replica(1, 0), missing, &mut NoState);
    middle.poll_outputs();
    // When
    middle.handle_message(4100, WallMillis(0), replica(1, 0), gap(7), &mut NoState);
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
    let durable = |output: &Output| match output {
        Output::Send {
            to: 3,
            message: PeerMessage::Append { durable, .. },
        } => Some(*durable),
        _ => None,
    };
    outputs
        .iter()
        .filter_map(durable)
        .next_back()
        .unwrap_or(LogIndex::default())
        .0
}

#[googletest::test]
fn replaced_entries_in_flight_do_not_become_durable() {
    // Given: entries of view 1 are submitted to the disk and not durable yet
    let mut middle = middle_replica();
    let append = PeerMessage::Append {
        view: ViewNumber(1),
        after: LogIndex(1),
        entries: vec![entry(2), entry(3)],
        durable: LogIndex(3),
    };
    middle.handle_message(30, WallMillis(0), replica(1, 0), append, &mut NoState);
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
    // When: the head of the next view does not have them, and sends a snapshot and another entry in their place
    let (head, own, tail) = (replica(1, 0), replica(2, 7), replica(3, 8));
    let view = View::initial(vec![head.member])
        .next(vec![head.member], vec![head, own, tail])
        .next(vec![head.member], vec![head, own, tail]);
    middle.handle_message(
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
    middle.handle_message(60, WallMillis(0), tail, request, &mut NoState);
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
    middle.handle_message(70, WallMillis(0), head, append, &mut NoState);
    middle.poll_outputs();
    middle.handle_persisted(ticket.unwrap_or_default(), 80, &mut NoState);
    middle.on_timeout(300, WallMillis(300), &mut NoState);
    // Then
    expect_that!(advertised_durable(&middle.poll_outputs()), eq(0));
}

#[googletest::test]
fn learner_commits_only_with_long_enough_chain() {
    let (head, second, own) = (replica(1, 0), replica(2, 7), replica(3, 8));
    // With a tolerance of one machine, entries on a single disk are not committed.
    for (chain, committed) in [(vec![head], 0), (vec![second, head], 3)] {
        let disk = DurableState::empty(8, None, Vec::new(), no_state());
        let mut learner = started(settings(own, vec![1]), disk);
        let view = View::initial(vec![head.member]).next(vec![head.member], chain.clone());
        let decided = PeerMessage::Decided(view);
        learner.handle_message(0, WallMillis(0), head, decided, &mut NoState);
        let missing = PeerMessage::MissingEntries {
            view: ViewNumber(1),
            after: LogIndex(0),
            entries: vec![entry(1)],
            more: false,
        };
        learner.handle_message(10, WallMillis(0), head, missing, &mut NoState);
        let append = PeerMessage::Append {
            view: ViewNumber(1),
            after: LogIndex(1),
            entries: vec![entry(2), entry(3)],
            durable: LogIndex(3),
        };
        learner.handle_message(20, WallMillis(0), head, append, &mut NoState);
        expect_that!(learner.commit_index().0, eq(committed), "{chain:?}");
    }
}
