//! This replica's own disk: the progress that it reports to others, and whether they have confirmed that the disk was
//! not restored from an old copy.
//!
//! A voter votes only after a majority of the voters, including itself, has heard from this process and none has
//! objected. An old copy lacks votes that were cast since, but other voters have heard of them.
use crate::durable_state::DurableState;
use magpiegap_protocol::{DiskProgress, DiskReport, LogPosition, PeerMessage, ReplicaId};

/// Maximum number of requests for votes that are deferred until the disk is confirmed. The oldest ones are dropped
/// first; their senders retry.
const MAX_DEFERRED_MESSAGES: usize = 8;

/// Whether the state on the disk can be trusted to be the latest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiskTrust {
    /// Too few voters have heard from this process yet.
    Unconfirmed,
    /// A majority of the voters has heard from this process, and none has objected.
    Confirmed,
    /// The disk was restored from an old copy.
    Stale,
}

/// This replica's disk.
#[derive(Clone, Debug)]
pub(crate) struct OwnDisk {
    /// The identity of this disk, which changes when the disk is wiped.
    pub name: u64,
    /// The number of processes that have started on this disk, including this one.
    pub starts: u64,
    /// The progress of the disk when this process started.
    at_start: DiskProgress,
    /// The progress that is durable by now.
    confirmed: DiskProgress,
    trust: DiskTrust,
    /// Whether `Output::DiskSuperseded` was emitted.
    is_superseded: bool,
    /// Requests for votes received before the disk was confirmed.
    deferred: Vec<(ReplicaId, PeerMessage)>,
}

impl OwnDisk {
    /// The disk of a process that starts with this state.
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
            is_superseded: false,
            deferred: Vec::new(),
        }
    }

    /// The report on the disk for heartbeats.
    pub(crate) fn report(&self) -> DiskReport {
        DiskReport {
            starts: self.starts,
            at_start: self.at_start,
            confirmed: self.confirmed,
        }
    }

    /// Records that these votes are durable.
    pub(crate) fn record_votes(&mut self, votes: DiskProgress) {
        self.confirmed.advance(&votes);
    }

    /// Records that the entry at this position is durable and committed.
    pub(crate) fn record_committed(&mut self, position: LogPosition) {
        self.confirmed.committed = self.confirmed.committed.max(position);
    }

    pub(crate) fn is_confirmed(&self) -> bool {
        self.trust == DiskTrust::Confirmed
    }

    pub(crate) fn is_stale(&self) -> bool {
        self.trust == DiskTrust::Stale
    }

    /// Records that a majority of the voters has heard from this process. Returns the deferred messages.
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

    /// Records that `Output::DiskSuperseded` is emitted. Returns whether this is the first time.
    pub(crate) fn record_superseded(&mut self) -> bool {
        !std::mem::replace(&mut self.is_superseded, true)
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
