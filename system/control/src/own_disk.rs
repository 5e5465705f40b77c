//! This replica's own disk: what it says of it to others, and whether they have confirmed that it is no old copy.
//!
//! A voter counts its disk for what is on it only after a majority of the voters, itself included, has heard this process,
//! and nobody has objected: the votes that an old copy has forgotten were heard by others.
use crate::durable_state::DurableState;
use magpiegap_protocol::{DiskProgress, DiskReport, LogPosition, PeerMessage, ReplicaId};

/// So many messages on votes are deferred until the disk is confirmed; the oldest are dropped, and their senders try again.
const MAX_DEFERRED_MESSAGES: usize = 8;

/// Whether the disk counts for what is on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskTrust {
    /// Too few have heard this process.
    Unconfirmed,
    /// A majority has heard it, and nobody has objected.
    Confirmed,
    /// It is an old copy of a disk that was further.
    Stale,
}

/// The disk.
#[derive(Clone, Debug)]
pub(crate) struct OwnDisk {
    /// Names this incarnation of the disk.
    pub name: u64,
    /// How many processes have started on it, this one included.
    pub starts: u64,
    at_start: DiskProgress,
    confirmed: DiskProgress,
    trust: DiskTrust,
    /// The owner was told that the disk can be given up.
    given_up: bool,
    /// What came before the disk was confirmed.
    deferred: Vec<(ReplicaId, PeerMessage)>,
}

impl OwnDisk {
    /// The disk of a process that starts now.
    pub(crate) fn new(durable: &DurableState) -> OwnDisk {
        let starts = durable
            .agreement
            .disks
            .as_ref()
            .map_or(0, |disks| disks.starts);
        let last = durable
            .entries
            .last()
            .map_or(durable.applied, |entry| entry.position);
        OwnDisk {
            name: durable.disk,
            starts: starts.saturating_add(1),
            at_start: durable.agreement.progress(last),
            confirmed: durable.agreement.progress(durable.applied),
            trust: DiskTrust::Unconfirmed,
            given_up: false,
            deferred: Vec::new(),
        }
    }

    /// What is said of the disk in heartbeats.
    pub(crate) fn report(&self) -> DiskReport {
        DiskReport {
            starts: self.starts,
            at_start: self.at_start,
            confirmed: self.confirmed,
        }
    }

    /// Records that these votes are on it.
    pub(crate) fn record_votes(&mut self, votes: DiskProgress) {
        self.confirmed.advance(&votes);
    }

    /// Records that this entry is on it, and is committed.
    pub(crate) fn record_committed(&mut self, position: LogPosition) {
        self.confirmed.committed = self.confirmed.committed.max(position);
    }

    pub(crate) fn is_confirmed(&self) -> bool {
        self.trust == DiskTrust::Confirmed
    }

    pub(crate) fn is_stale(&self) -> bool {
        self.trust == DiskTrust::Stale
    }

    /// Records that a majority has heard this process. Returns what came before.
    pub(crate) fn confirm(&mut self) -> Vec<(ReplicaId, PeerMessage)> {
        if self.trust != DiskTrust::Unconfirmed {
            return Vec::new();
        }
        self.trust = DiskTrust::Confirmed;
        std::mem::take(&mut self.deferred)
    }

    /// Records an objection. Returns whether it is the first one.
    pub(crate) fn record_objection(&mut self) -> bool {
        self.deferred.clear();
        std::mem::replace(&mut self.trust, DiskTrust::Stale) != DiskTrust::Stale
    }

    /// Gives the disk up. Returns whether that is the first time.
    pub(crate) fn give_up(&mut self) -> bool {
        !std::mem::replace(&mut self.given_up, true)
    }

    /// Defers a message until the disk is confirmed.
    pub(crate) fn defer(&mut self, from: ReplicaId, message: PeerMessage) {
        if self.trust != DiskTrust::Unconfirmed {
            return;
        }
        if self.deferred.len() >= MAX_DEFERRED_MESSAGES {
            self.deferred.remove(0);
        }
        self.deferred.push((from, message));
    }
}
