//! The budget of bytes that a replica may send: a token bucket. Owns what is left of it.
use crate::types::Millis;

/// Bytes a second that a replica sends at most for long, whatever the number of members: its own probes, the responses
/// it owes for as many, and what is left over for updates.
pub(crate) const BYTES_PER_SECOND: f64 = 2_500.0;
/// What may be sent at once after an idle time, in bytes: some gossip rounds.
const BURST_BYTES: f64 = 5_000.0;
/// Responses are sent beyond the budget, with little piggybacked, down to this; beyond it they are dropped.
const DEBT_LIMIT_BYTES: f64 = -10_000.0;

/// A token bucket of bytes.
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

    /// Takes what was sent out of the bucket, below nothing if need be.
    pub(crate) fn spend(&mut self, now: Millis, bytes: usize) {
        self.refill(now);
        self.available -= bytes as f64;
    }

    /// Whether there is something left for what could wait.
    pub(crate) fn has_credit(&mut self, now: Millis) -> bool {
        self.refill(now);
        self.available > 0.0
    }

    /// Whether a response may still be sent.
    pub(crate) fn allows_response(&mut self, now: Millis) -> bool {
        self.refill(now);
        self.available > DEBT_LIMIT_BYTES
    }
}
