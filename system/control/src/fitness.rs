//! Whether a replica can take part in a chain for now: it is not shutting down, and its disk keeps up.
use magpiegap_protocol::Millis;

/// A disk that has not done what it was requested to for this long makes the replica unfit ...
const DISK_TIMEOUT_MS: Millis = 350;
/// ... and for this much longer, so that a slow disk does not come and go with every write.
const UNFIT_DURATION_MS: Millis = 2500;

/// The fitness of this replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fitness {
    /// The process is about to end.
    draining: bool,
    /// The disk was too slow a moment ago; the replica is unfit until then.
    unfit_until: Millis,
}

impl Fitness {
    /// Marks the replica as draining, for the rest of its incarnation.
    pub(crate) fn drain(&mut self) {
        self.draining = true;
    }

    /// Records disk work that completed now.
    pub(crate) fn record_disk_work(&mut self, issued_at: Millis, now: Millis) {
        if now.saturating_sub(issued_at) > DISK_TIMEOUT_MS {
            self.unfit_until = now + UNFIT_DURATION_MS;
        }
    }

    /// Whether the replica can't take part for now, given when its oldest disk work in flight was issued.
    pub(crate) fn is_unfit(&self, oldest_issued_at: Option<Millis>, now: Millis) -> bool {
        let is_stuck = |issued_at| now.saturating_sub(issued_at) > DISK_TIMEOUT_MS;
        self.draining || now < self.unfit_until || oldest_issued_at.is_some_and(is_stuck)
    }
}
