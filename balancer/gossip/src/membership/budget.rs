//! The send budget of a replica: a token bucket of bytes.
use crate::types::Millis;

/// The limit of the sustained send rate, independent of the number of members. It covers a replica's own probes, as
/// many responses, and updates with the remainder.
pub(crate) const BYTES_PER_SECOND: f64 = 2_500.0;
/// The burst allowed after an idle time: several gossip rounds.
const BURST_BYTES: f64 = 5_000.0;
/// Responses may overdraw the budget to this level, with little piggybacked; below it they are dropped.
const DEBT_LIMIT_BYTES: f64 = -10_000.0;

#[derive(Debug)]
pub(crate) struct Budget {
    available: f64,
    at: Millis,
}

impl Budget {
    pub(crate) fn new(now: Millis) -> Budget {
        Budget {
            available: BURST_BYTES,
            at: now,
        }
    }

    fn refill(&mut self, now: Millis) {
        self.available = (self.available + (now - self.at).max(0.0) * BYTES_PER_SECOND / 1000.0)
            .min(BURST_BYTES);
        self.at = self.at.max(now);
    }

    /// Deducts sent bytes; the balance may become negative.
    pub(crate) fn spend(&mut self, now: Millis, bytes: usize) {
        self.refill(now);
        self.available -= bytes as f64;
    }

    /// Whether the budget allows messages that can be deferred.
    pub(crate) fn has_credit(&mut self, now: Millis) -> bool {
        self.refill(now);
        self.available > 0.0
    }

    /// Whether the budget allows a response.
    pub(crate) fn allows_response(&mut self, now: Millis) -> bool {
        self.refill(now);
        self.available > DEBT_LIMIT_BYTES
    }
}
