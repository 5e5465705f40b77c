//! Messages between coordinators: heartbeats, view changes, replication, snapshot transfer and the list of workers.
use crate::{
    Ballot, Command, DiskReport, Entry, FencingToken, Location, LogIndex, LogPosition, Millis,
    ProposalId, ReplicaId, RoleToken, StaleDisk, View, ViewNumber, WallMillis, WorkerEntry,
};
use minicbor::{Decode, Encode};

/// A batch of messages from one coordinator to another, in sending order.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Envelope {
    /// The sender.
    #[n(0)]
    pub from: ReplicaId,
    /// The messages.
    #[n(1)]
    pub messages: Vec<PeerMessage>,
}

/// A coordinator's report on another coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerReport {
    /// The reported coordinator.
    #[n(0)]
    pub replica: ReplicaId,
    /// Age of its last heartbeat, in milliseconds.
    #[n(1)]
    pub age_ms: u64,
    /// Number of the newest view that it knew at that time.
    #[n(2)]
    pub view: ViewNumber,
    /// Whether it was serving in that view.
    #[n(3)]
    pub serving: bool,
    /// Whether it was unable to participate.
    #[n(4)]
    pub unfit: bool,
    /// Whether its disk held all committed entries.
    #[n(5)]
    #[cbor(default)]
    pub complete: bool,
    /// Index of the newest entry that it knew to be committed.
    #[n(6)]
    #[cbor(default)]
    pub committed: LogIndex,
    /// Whether it and the sender of this report receive each other's heartbeats directly.
    #[n(7)]
    #[cbor(default)]
    pub bidirectional: bool,
    /// Its location.
    #[n(8)]
    #[cbor(default)]
    pub location: Location,
    /// Echo: the newest `sent_at` of its heartbeats received by the sender of this report; zero if there is none.
    #[n(9)]
    #[cbor(default)]
    pub echo: Millis,
}

/// A heartbeat, with the sender's state and its reports on other coordinators.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Heartbeat {
    /// Number of the newest view known to the sender.
    #[n(0)]
    pub view: ViewNumber,
    /// Whether the sender is serving in that view, or waits for a snapshot from its predecessor in the chain.
    #[n(1)]
    pub serving: bool,
    /// Whether the sender is unable to participate, because it is shutting down or its disk does not respond.
    #[n(2)]
    pub unfit: bool,
    /// Reports on other coordinators.
    #[n(3)]
    pub reports: Vec<PeerReport>,
    /// The sender's wall-clock time.
    #[n(4)]
    pub wall_ms: WallMillis,
    /// Index of the newest entry that the sender knows to be committed.
    #[n(5)]
    pub committed: LogIndex,
    /// Whether the sender's disk holds all entries committed up to that view.
    #[n(6)]
    #[cbor(default)]
    pub complete: bool,
    /// The sender's location.
    #[n(7)]
    #[cbor(default)]
    pub location: Location,
    /// Sending time on the sender's monotonic clock, which receivers echo.
    #[n(8)]
    #[cbor(default)]
    pub sent_at: Millis,
    /// Whether the sender participates in the agreement on the next view, so that the current one may have ended.
    #[n(9)]
    #[cbor(default)]
    pub sealed: bool,
    /// The sender's report on its disk; `None` if its build does not send one.
    #[n(10)]
    pub disk: Option<Box<DiskReport>>,
}

/// A view that a voter has accepted, and the ballot in which it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct AcceptedView {
    /// The ballot.
    #[n(0)]
    pub ballot: Ballot,
    /// The view.
    #[n(1)]
    pub view: View,
}

/// The promise of a voter to a proposer of the next view (phase 1b of Paxos).
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Promise {
    /// Number of the view to be decided.
    #[n(0)]
    pub number: ViewNumber,
    /// The ballot.
    #[n(1)]
    pub ballot: Ballot,
    /// The view that the voter has accepted earlier, if any.
    #[n(2)]
    pub accepted: Option<AcceptedView>,
    /// Position of the last entry on the voter's disk; `None` if the disk lacks committed entries.
    #[n(3)]
    pub complete: Option<LogPosition>,
}

/// The platform's list of workers, as the platform reader last received it.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct WorkerList {
    /// Fencing token of the platform reader.
    #[n(0)]
    pub token: FencingToken,
    /// Sequence number of the list among those of this platform reader.
    #[n(1)]
    pub sequence: u64,
    /// The workers.
    #[n(2)]
    pub workers: Vec<WorkerEntry>,
}

/// A message between coordinators.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// A heartbeat.
    #[n(0)]
    Heartbeat(#[n(0)] Heartbeat),
    /// Requests a promise for the next view (phase 1a of Paxos).
    #[n(1)]
    Prepare {
        /// Number of the view to be decided.
        #[n(0)]
        number: ViewNumber,
        /// The ballot.
        #[n(1)]
        ballot: Ballot,
    },
    /// Promises to accept no view in a lower ballot (phase 1b of Paxos).
    #[n(2)]
    Promise(#[n(0)] Promise),
    /// Rejects a ballot because the voter has promised a higher one.
    #[n(3)]
    Reject {
        /// Number of the view to be decided.
        #[n(0)]
        number: ViewNumber,
        /// The highest ballot that the voter has promised.
        #[n(1)]
        promised: Ballot,
    },
    /// Asks a voter to accept a view (phase 2a of Paxos).
    #[n(4)]
    Accept {
        /// The ballot.
        #[n(0)]
        ballot: Ballot,
        /// The view.
        #[n(1)]
        view: View,
    },
    /// Confirms that the voter has accepted a view (phase 2b of Paxos).
    #[n(5)]
    Accepted {
        /// Number of the view.
        #[n(0)]
        number: ViewNumber,
        /// The ballot.
        #[n(1)]
        ballot: Ballot,
    },
    /// Announces a view that was decided.
    #[n(6)]
    Decided(#[n(0)] View),
    /// Entries from a replica to its successor in the chain.
    #[n(7)]
    Append {
        /// The view.
        #[n(0)]
        view: ViewNumber,
        /// Index of the entry before the first one in this message.
        #[n(1)]
        after: LogIndex,
        /// The entries.
        #[n(2)]
        entries: Vec<Entry>,
        /// Entries up to this index are durable at the sender and all its predecessors in the chain.
        #[n(3)]
        durable: LogIndex,
    },
    /// Announces that all entries up to an index are committed. Sent from the tail towards the head.
    #[n(8)]
    Committed {
        /// The view.
        #[n(0)]
        view: ViewNumber,
        /// Index of the last committed entry.
        #[n(1)]
        index: LogIndex,
    },
    /// Requests missing entries from the predecessor in the chain.
    #[n(9)]
    RequestEntries {
        /// The view.
        #[n(0)]
        view: ViewNumber,
        /// Position of the last entry that the sender holds.
        #[n(1)]
        last: LogPosition,
    },
    /// The response to [`PeerMessage::RequestEntries`].
    #[n(10)]
    MissingEntries {
        /// The view.
        #[n(0)]
        view: ViewNumber,
        /// Index of the entry before the first one in this message.
        #[n(1)]
        after: LogIndex,
        /// The entries.
        #[n(2)]
        entries: Vec<Entry>,
        /// Whether the sender holds further entries after these.
        #[n(3)]
        #[cbor(default)]
        more: bool,
    },
    /// A proposal, addressed to the head of the chain.
    #[n(12)]
    Propose {
        /// The view in which the proposal is valid.
        #[n(0)]
        view: ViewNumber,
        /// Identity of the proposal.
        #[n(1)]
        proposal: ProposalId,
        /// Role and fencing token of the proposer; `None` if the command requires no role.
        #[n(2)]
        role_token: Option<RoleToken>,
        /// The proposed command.
        #[n(3)]
        command: Command,
    },
    /// The platform's list of workers.
    #[n(13)]
    WorkerList(#[n(0)] WorkerList),
    /// Offers a snapshot when the log no longer holds the missing entries. The receiver requests it chunk by chunk.
    #[n(14)]
    SnapshotOffer {
        /// The view.
        #[n(0)]
        view: ViewNumber,
        /// Position of the last entry in the snapshot.
        #[n(1)]
        position: LogPosition,
        /// Number of chunks.
        #[n(2)]
        chunks: u32,
    },
    /// Requests a chunk of an offered snapshot.
    #[n(15)]
    RequestSnapshotChunk {
        /// The view.
        #[n(0)]
        view: ViewNumber,
        /// Position of the last entry in the snapshot.
        #[n(1)]
        position: LogPosition,
        /// Number of the chunk, starting at zero.
        #[n(2)]
        number: u32,
    },
    /// A chunk of a snapshot.
    #[n(16)]
    SnapshotChunk {
        /// The view.
        #[n(0)]
        view: ViewNumber,
        /// Position of the last entry in the snapshot.
        #[n(1)]
        position: LogPosition,
        /// Number of the chunk, starting at zero.
        #[n(2)]
        number: u32,
        /// FNV-1a hash of `bytes`.
        #[n(3)]
        checksum: u64,
        /// The encoded chunk.
        #[cbor(n(4), with = "minicbor::bytes")]
        bytes: Vec<u8>,
    },
    /// Tells the receiver that its disk is stale. Sent only in response to a heartbeat that contains a disk report.
    #[n(17)]
    StaleDisk(#[n(0)] Box<StaleDisk>),
}

impl PeerMessage {
    /// Estimated encoded size in bytes.
    pub fn estimated_bytes(&self) -> usize {
        const BASE_BYTES: usize = 200;
        match self {
            PeerMessage::Append { entries, .. } | PeerMessage::MissingEntries { entries, .. } => {
                BASE_BYTES + entries.iter().map(Entry::estimated_bytes).sum::<usize>()
            }
            PeerMessage::SnapshotChunk { bytes, .. } => BASE_BYTES + bytes.len(),
            PeerMessage::WorkerList(list) => BASE_BYTES * (1 + list.workers.len()),
            _ => BASE_BYTES,
        }
    }

    /// Whether the message concerns membership and views, and must not be queued behind entries and snapshots.
    pub fn is_urgent(&self) -> bool {
        match self {
            PeerMessage::Heartbeat(_)
            | PeerMessage::Prepare { .. }
            | PeerMessage::Promise(_)
            | PeerMessage::Reject { .. }
            | PeerMessage::Accept { .. }
            | PeerMessage::Accepted { .. }
            | PeerMessage::Decided(_)
            | PeerMessage::StaleDisk(_) => true,
            PeerMessage::Append { .. }
            | PeerMessage::Committed { .. }
            | PeerMessage::RequestEntries { .. }
            | PeerMessage::MissingEntries { .. }
            | PeerMessage::SnapshotOffer { .. }
            | PeerMessage::RequestSnapshotChunk { .. }
            | PeerMessage::SnapshotChunk { .. }
            | PeerMessage::Propose { .. }
            | PeerMessage::WorkerList(_) => false,
        }
    }
}
