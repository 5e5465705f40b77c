//! Progress of coordinators' disks, exchanged to detect a disk that was restored from an old copy.
//!
//! A restored disk keeps its identity but lacks the latest promises, votes and entries that it had confirmed. Without
//! detection its member could vote twice on one view, or consider itself complete without acknowledged entries.
use crate::{Ballot, LogPosition, Member, ReplicaId, ViewNumber};
use minicbor::{Decode, Encode};

/// Progress of a disk. It never decreases on a disk that retains what it has confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DiskProgress {
    /// The newest view that the disk records as decided.
    #[n(0)]
    pub view: ViewNumber,
    /// The highest ballot promised for the view after `view`.
    #[n(1)]
    pub promised: Option<Ballot>,
    /// The ballot in which a view was last accepted.
    #[n(2)]
    pub accepted: Option<Ballot>,
    /// The last entry on the disk that is known to be committed.
    #[n(3)]
    pub committed: LogPosition,
}

impl DiskProgress {
    /// Whether this state lacks votes or committed entries of `earlier`, a recorded state of the same disk.
    pub fn is_behind(&self, earlier: &DiskProgress) -> bool {
        self.votes() < earlier.votes() || self.committed < earlier.committed
    }

    /// Merges another state of the same disk, keeping the more advanced of each part.
    pub fn advance(&mut self, other: &DiskProgress) {
        if self.votes() < other.votes() {
            self.view = other.view;
            self.promised = other.promised;
            self.accepted = other.accepted;
        }
        self.committed = self.committed.max(other.committed);
    }

    /// The voting state, which only grows in lexicographic order: ballots restart with each view, and a voter accepts
    /// only in the ballot that it has promised.
    fn votes(&self) -> (ViewNumber, Option<Ballot>, Option<Ballot>) {
        (self.view, self.promised, self.accepted)
    }
}

/// A coordinator's report on its own disk, sent in heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DiskReport {
    /// Number of processes that have started on this disk, including the sender.
    #[n(0)]
    pub starts: u64,
    /// Progress that the process read at its start. Here `committed` is an upper bound: the last entry on the disk,
    /// committed or not.
    #[n(1)]
    pub at_start: DiskProgress,
    /// Progress that was confirmed as durable since the start of the process.
    #[n(2)]
    pub confirmed: DiskProgress,
}

/// A coordinator's record of another coordinator's disk: the latest known process on it, and its progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DiskNote {
    /// The machine and the identity of its disk.
    #[n(0)]
    pub member: Member,
    /// Number of processes that had started on the disk.
    #[n(1)]
    pub starts: u64,
    /// Incarnation of the latest of these processes.
    #[n(2)]
    pub incarnation: u64,
    /// Progress of the disk.
    #[n(3)]
    pub progress: DiskProgress,
}

/// Tells a coordinator that its disk is stale: the disk had made more progress before than its process read at the
/// start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StaleDisk {
    /// The process that runs on the stale disk.
    #[n(0)]
    pub replica: ReplicaId,
    /// The sender's record of the disk.
    #[n(1)]
    pub noted: DiskNote,
    /// The newest view known to the sender.
    #[n(2)]
    pub view: ViewNumber,
    /// The sender serves in that view with contact to a majority, and the chain does not include the disk's member:
    /// nothing depends on the content of the disk.
    #[n(3)]
    pub serving: bool,
}
