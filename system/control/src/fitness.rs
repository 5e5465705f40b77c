//! Whether a replica is fit to be a chain member: it is not draining, and its disk is fast enough.
use magpiegap_protocol::Millis;

/// Disk work that takes longer than this makes the replica unfit.
const DISK_TIMEOUT_MS: Millis = 350;
/// How long the replica stays unfit after slow disk work, so that a slow disk does not cause a view change with every
/// write.
const UNFIT_DURATION_MS: Millis = 2500;

/// The fitness of this replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fitness {
    /// The process is shutting down.
    draining: bool,
    /// The replica is unfit until this time because of slow disk work.
    unfit_until: Millis,
}

impl Fitness {
    /// Marks the replica as draining, until its process ends.
    pub(crate) fn drain(&mut self) {
        self.draining = true;
    }

    /// Records disk work that completed now.
    pub(crate) fn record_disk_work(&mut self, issued_at: Millis, now: Millis) {
        if now.saturating_sub(issued_at) > DISK_TIMEOUT_MS {
            self.unfit_until = now + UNFIT_DURATION_MS;
        }
    }

    /// Whether the replica is unfit, given when its oldest disk work in flight was issued.
    pub(crate) fn is_unfit(&self, oldest_issued_at: Option<Millis>, now: Millis) -> bool {
        let is_stuck = |issued_at| now.saturating_sub(issued_at) > DISK_TIMEOUT_MS;
        self.draining || now < self.unfit_until || oldest_issued_at.is_some_and(is_stuck)
    }
}
