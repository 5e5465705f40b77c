//! Messages between coordinators: heartbeats, agreement on views, replication, snapshots and the list of workers.
use crate::{
    Ballot, Command, DiskReport, Entry, FencingToken, Location, LogIndex, LogPosition, Millis,
    ProposalId, ReplicaId, RoleToken, StaleDisk, View, ViewNumber, WallMillis, WorkerEntry,
};
use minicbor::{Decode, Encode};

/// Messages from one coordinator to another, in the order in which they were sent.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Envelope {
    /// The sender.
    #[n(0)]
    pub from: ReplicaId,
    /// The messages.
    #[n(1)]
    pub messages: Vec<PeerMessage>,
}

/// What a coordinator reports of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PeerReport {
    /// The reported coordinator.
    #[n(0)]
    pub replica: ReplicaId,
    /// Age of its last heartbeat, in milliseconds.
    #[n(1)]
    pub age_ms: u64,
    /// Number of the newest view that it knew then.
    #[n(2)]
    pub view: ViewNumber,
    /// It was serving in that view.
    #[n(3)]
    pub serving: bool,
    /// It could not take part.
    #[n(4)]
    pub unfit: bool,
    /// Its disk had all that was committed.
    #[n(5)]
    #[cbor(default)]
    pub complete: bool,
    /// The newest entry that it knew to be committed.
    #[n(6)]
    #[cbor(default)]
    pub committed: LogIndex,
    /// The sender of this report and it receive each other's heartbeats directly.
    #[n(7)]
    #[cbor(default)]
    pub bidirectional: bool,
    /// Its location.
    #[n(8)]
    #[cbor(default)]
    pub location: Location,
    /// Echo: the newest `sent_at` of its heartbeats that the sender of this report received; zero: none.
    #[n(9)]
    #[cbor(default)]
    pub echo: Millis,
}

/// A heartbeat, with what the sender knows of itself and of others.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Heartbeat {
    /// Number of the newest view that the sender knows.
    #[n(0)]
    pub view: ViewNumber,
    /// The sender is serving in that view, or waits for the snapshot of its predecessor there.
    #[n(1)]
    pub serving: bool,
    /// The sender can't take part for now: it is shutting down, or its disk does not respond.
    #[n(2)]
    pub unfit: bool,
    /// Reports of other coordinators.
    #[n(3)]
    pub reports: Vec<PeerReport>,
    /// The sender's time of day.
    #[n(4)]
    pub wall_ms: WallMillis,
    /// The newest entry that the sender knows to be committed.
    #[n(5)]
    pub committed: LogIndex,
    /// The sender's disk has all that was committed up to that view.
    #[n(6)]
    #[cbor(default)]
    pub complete: bool,
    /// Location of the sender.
    #[n(7)]
    #[cbor(default)]
    pub location: Location,
    /// When it was sent, on the sender's steady clock. Receivers return it as an echo.
    #[n(8)]
    #[cbor(default)]
    pub sent_at: Millis,
    /// The sender takes part in the agreement on the next view, so that the current one may have ended.
    #[n(9)]
    #[cbor(default)]
    pub sealed: bool,
    /// What the sender says of its disk; `None`: it is of a build that says nothing.
    #[n(10)]
    pub disk: Option<Box<DiskReport>>,
}

/// A view that a voter has accepted, with the ballot in which it did.
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
    /// Number of the view to be agreed.
    #[n(0)]
    pub number: ViewNumber,
    /// The ballot.
    #[n(1)]
    pub ballot: Ballot,
    /// The view that the voter has accepted before.
    #[n(2)]
    pub accepted: Option<AcceptedView>,
    /// The last entry on the voter's disk, when that has all that was committed so far.
    #[n(3)]
    pub complete: Option<LogPosition>,
}

/// The platform's list of workers, as its reader last received it.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct WorkerList {
    /// Fencing token of the reader.
    #[n(0)]
    pub token: FencingToken,
    /// Number of the list among those of this reader.
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
        /// Number of the view to be agreed.
        #[n(0)]
        number: ViewNumber,
        /// The ballot: round, then a tag of the proposer.
        #[n(1)]
        ballot: Ballot,
    },
    /// The voter promises to accept nothing in lower ballots (phase 1b of Paxos).
    #[n(2)]
    Promise(#[n(0)] Promise),
    /// The voter rejects a ballot, as it has promised a higher one.
    #[n(3)]
    Reject {
        /// Number of the view to be agreed.
        #[n(0)]
        number: ViewNumber,
        /// The highest ballot that the voter has promised.
        #[n(1)]
        promised: Ballot,
    },
    /// Requests a voter to accept a view (phase 2a of Paxos).
    #[n(4)]
    Accept {
        /// The ballot.
        #[n(0)]
        ballot: Ballot,
        /// The view.
        #[n(1)]
        view: View,
    },
    /// The voter has accepted a view (phase 2b of Paxos).
    #[n(5)]
    Accepted {
        /// Number of the view.
        #[n(0)]
        number: ViewNumber,
        /// The ballot.
        #[n(1)]
        ballot: Ballot,
    },
    /// A view that was agreed.
    #[n(6)]
    Decided(#[n(0)] View),
    /// Entries, from a replica to its successor.
    #[n(7)]
    Append {
        /// The view.
        #[n(0)]
        view: ViewNumber,
        /// The entry before the first one here.
        #[n(1)]
        after: LogIndex,
        /// The entries.
        #[n(2)]
        entries: Vec<Entry>,
        /// All entries up to this one are on the disks of the sender and of all before it.
        #[n(3)]
        durable: LogIndex,
    },
    /// Notifies that all entries up to an index are committed; it begins at the tail.
    #[n(8)]
    Committed {
        /// The view.
        #[n(0)]
        view: ViewNumber,
        /// The entry.
        #[n(1)]
        index: LogIndex,
    },
    /// Requests missing entries from the predecessor.
    #[n(9)]
    RequestEntries {
        /// The view.
        #[n(0)]
        view: ViewNumber,
        /// The last entry that the sender has.
        #[n(1)]
        last: LogPosition,
    },
    /// Entries that were missing.
    #[n(10)]
    MissingEntries {
        /// The view.
        #[n(0)]
        view: ViewNumber,
        /// The entry before the first one here.
        #[n(1)]
        after: LogIndex,
        /// The entries.
        #[n(2)]
        entries: Vec<Entry>,
        /// The sender has more that follow these.
        #[n(3)]
        #[cbor(default)]
        more: bool,
    },
    /// A proposal for the head.
    #[n(12)]
    Propose {
        /// The view in which it is made; void in any other.
        #[n(0)]
        view: ViewNumber,
        /// Its name.
        #[n(1)]
        proposal: ProposalId,
        /// The role in which it is made.
        #[n(2)]
        role_token: Option<RoleToken>,
        /// What is proposed.
        #[n(3)]
        command: Command,
    },
    /// The platform's list of workers.
    #[n(13)]
    Platform(#[n(0)] WorkerList),
    /// Offers a snapshot, where the log does not reach back far enough. It is requested chunk by chunk.
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
    /// Requests a chunk of a snapshot that was offered.
    #[n(15)]
    RequestSnapshotChunk {
        /// The view.
        #[n(0)]
        view: ViewNumber,
        /// Position of the snapshot.
        #[n(1)]
        position: LogPosition,
        /// Number of the chunk, from zero.
        #[n(2)]
        number: u32,
    },
    /// A chunk of a snapshot.
    #[n(16)]
    SnapshotChunk {
        /// The view.
        #[n(0)]
        view: ViewNumber,
        /// Position of the snapshot.
        #[n(1)]
        position: LogPosition,
        /// Number of the chunk, from zero.
        #[n(2)]
        number: u32,
        /// FNV-1a of its bytes.
        #[n(3)]
        checksum: u64,
        /// The encoded chunk.
        #[cbor(n(4), with = "minicbor::bytes")]
        bytes: Vec<u8>,
    },
    /// Objects to the receiver's disk, which was further before. Sent only in reply to a heartbeat that tells of a disk.
    #[n(17)]
    StaleDisk(#[n(0)] Box<StaleDisk>),
}

impl PeerMessage {
    /// Estimated size in bytes.
    pub fn estimated_bytes(&self) -> usize {
        const BASE_BYTES: usize = 200;
        match self {
            PeerMessage::Append { entries, .. } | PeerMessage::MissingEntries { entries, .. } => {
                BASE_BYTES + entries.iter().map(Entry::estimated_bytes).sum::<usize>()
            }
            PeerMessage::SnapshotChunk { bytes, .. } => BASE_BYTES + bytes.len(),
            PeerMessage::Platform(list) => BASE_BYTES * (1 + list.workers.len()),
            _ => BASE_BYTES,
        }
    }

    /// Whether the message is about membership and views, and must not wait behind entries and snapshots.
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
            | PeerMessage::Platform(_) => false,
        }
    }
}
