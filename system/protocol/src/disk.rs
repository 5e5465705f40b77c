//! What coordinators tell and note of their disks, so that a disk that was put back from an old copy is recognised.
//!
//! A disk counts for what it has promised and confirmed. One that was put back has forgotten the last of it, under the
//! same name: its member would vote twice on one view, or hold itself complete without entries that were acknowledged.
use crate::{Ballot, LogPosition, Member, ReplicaId, ViewNumber};
use minicbor::{Decode, Encode};

/// How far a disk has come. On a disk that keeps what it has confirmed no part of it ever goes back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DiskProgress {
    /// The newest view that is known on it to be agreed.
    #[n(0)]
    pub view: ViewNumber,
    /// The highest ballot promised for the view after that one.
    #[n(1)]
    pub promised: Option<Ballot>,
    /// The ballot in which a view was last accepted there.
    #[n(2)]
    pub accepted: Option<Ballot>,
    /// The last entry that was known to be committed and is on it.
    #[n(3)]
    pub committed: LogPosition,
}

impl DiskProgress {
    /// Whether a disk that was read in this state has less than one that had come so far before.
    pub fn is_behind(&self, noted: &DiskProgress) -> bool {
        self.votes() < noted.votes() || self.committed < noted.committed
    }

    /// Takes up what is further in another state of the same disk.
    pub fn advance(&mut self, other: &DiskProgress) {
        if self.votes() < other.votes() {
            self.view = other.view;
            self.promised = other.promised;
            self.accepted = other.accepted;
        }
        self.committed = self.committed.max(other.committed);
    }

    /// What grows in this order: with a new view, ballots begin anew; one accepts in the ballot that one has promised.
    fn votes(&self) -> (ViewNumber, Option<Ballot>, Option<Ballot>) {
        (self.view, self.promised, self.accepted)
    }
}

/// What a coordinator says of its disk in its heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DiskReport {
    /// How many processes have started on this disk, the sender included.
    #[n(0)]
    pub starts: u64,
    /// What was read from it at the start of the process. Here `committed` is the last entry that was read, committed or
    /// not: an upper bound.
    #[n(1)]
    pub at_start: DiskProgress,
    /// What has been confirmed to be on it since.
    #[n(2)]
    pub confirmed: DiskProgress,
}

/// What a coordinator notes of another one's disk: the newest process heard that runs on it, and how far it has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DiskNote {
    /// The machine and its disk.
    #[n(0)]
    pub member: Member,
    /// How many processes had started on the disk.
    #[n(1)]
    pub starts: u64,
    /// The incarnation of the last of them.
    #[n(2)]
    pub incarnation: u64,
    /// How far the disk had come.
    #[n(3)]
    pub progress: DiskProgress,
}

/// The objection of a coordinator to another one: that one's disk was further than it was when its process started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StaleDisk {
    /// The process that it is about.
    #[n(0)]
    pub replica: ReplicaId,
    /// What the sender had noted of its disk.
    #[n(1)]
    pub noted: DiskNote,
    /// The newest view that the sender knows.
    #[n(2)]
    pub view: ViewNumber,
    /// The sender serves in that view, in contact with a majority, and in a chain without the disk's member: nothing waits
    /// for what is on the disk.
    #[n(3)]
    pub serving: bool,
}
