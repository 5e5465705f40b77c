//! Snapshot offers, requests for expired snapshots, corrupt chunks, and the backoff of requests.
use crate::common::{no_state, settings, started, NoState};
use crate::middle_replica::*;
use googletest::prelude::*;
use magpiegap_control::{DurableState, Output};
use magpiegap_protocol::{LogIndex, LogPosition, PeerMessage, View, ViewNumber, WallMillis};

/// The messages sent to the tail.
fn sent_to_tail(outputs: Vec<Output>) -> Vec<PeerMessage> {
    let to_tail = |output| match output {
        Output::Send { to: 3, message } => Some(message),
        _ => None,
    };
    outputs.into_iter().filter_map(to_tail).collect()
}

#[googletest::test]
fn repeated_request_gets_only_snapshot_offers() {
    // Given: a successor whose last entry is not in the log of the middle replica
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
        middle.handle_message(
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
fn request_for_expired_snapshot_gets_new_offer() {
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
    middle.handle_message(30, WallMillis(0), replica(3, 8), request, &mut NoState);
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
fn corrupt_chunk_restarts_snapshot_transfer() {
    // Given: a replica in the chain that is offered a snapshot of two chunks
    let (head, own) = (replica(1, 0), replica(2, 7));
    let mut joining = started(
        settings(own, vec![1]),
        DurableState::empty(7, None, Vec::new(), no_state()),
    );
    let view = View::initial(vec![head.member]).next(vec![head.member], vec![head, own]);
    joining.handle_message(
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
    joining.handle_message(
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
    joining.handle_message(20, WallMillis(0), head, chunk, &mut NoState);
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
fn requests_to_unresponsive_source_back_off() {
    // Given: a replica with an empty disk whose predecessor does not respond
    let (head, own) = (replica(1, 0), replica(2, 7));
    let empty = DurableState::empty(7, None, Vec::new(), no_state());
    let mut joining = started(settings(own, vec![1]), empty);
    let view = View::initial(vec![head.member]).next(vec![head.member], vec![head, own]);
    joining.handle_message(
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
