//! The middle replica of a chain of three, driven by messages.
use crate::common::{no_state, settings, started, NoState};
use magpiegap_control::{DurableState, Replica};
use magpiegap_protocol::{
    fnv1a, Command, Entry, LogIndex, LogPosition, Member, PeerMessage, ProposalId, ReplicaId, View,
    ViewNumber, WallMillis,
};

pub(crate) fn replica(address: u32, disk: u64) -> ReplicaId {
    ReplicaId {
        member: Member { address, disk },
        incarnation: u64::from(address),
    }
}

pub(crate) fn entry(index: u64) -> Entry {
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

/// The middle replica of a chain of three. It is active with one entry from the head, and has served its successor's
/// request.
pub(crate) fn middle_replica() -> Replica {
    let (head, own, tail) = (replica(1, 0), replica(2, 7), replica(3, 8));
    let mut middle = started(
        settings(own, vec![1]),
        DurableState::empty(7, None, Vec::new(), no_state()),
    );
    let view = View::initial(vec![head.member]).next(vec![head.member], vec![head, own, tail]);
    middle.handle_message(
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
    middle.handle_message(20, WallMillis(0), tail, request, &mut NoState);
    middle.flush(20, &mut NoState);
    middle.poll_outputs();
    middle
}

/// Sends a replica an empty snapshot and the entries after it, from the head.
pub(crate) fn send_snapshot(to: &mut Replica, now: u64, view: u64, entries: Vec<Entry>) {
    let (head, position) = (replica(1, 0), LogPosition::default());
    to.handle_message(
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
    to.handle_message(now, WallMillis(0), head, chunk, &mut NoState);
    let missing = PeerMessage::MissingEntries {
        view: ViewNumber(view),
        after: LogIndex(0),
        entries,
        more: false,
    };
    to.handle_message(now, WallMillis(0), head, missing, &mut NoState);
}
