//! The bytes that a replica may send. Owns what is left of them.
use crate::types::Millis;

/// Bytes a second that a replica sends at most for long, whatever the number of members: the probes of its own, the
/// answers it owes for as many, and what is left over for news.
pub(crate) const RATE: f64 = 2_500.0;
/// What may be sent at once after a quiet while, in bytes: some waves of news.
const BURST: f64 = 5_000.0;
/// Answers owed are sent beyond the budget, without what rides on them, down to this; beyond it they are dropped.
const MAX_DEBT: f64 = -10_000.0;

/// A bucket of bytes.
#[derive(Debug)]
pub(crate) struct Budget {
    available: f64,
    at: Millis,
}

impl Budget {
    pub(crate) fn new(now: Millis) -> Budget {
        Budget {
            available: BURST,
            at: now,
        }
    }

    fn refill(&mut self, now: Millis) {
        self.available = (self.available + (now - self.at).max(0.0) * RATE / 1000.0).min(BURST);
        self.at = self.at.max(now);
    }

    pub(crate) fn spend(&mut self, now: Millis, bytes: usize) {
        self.refill(now);
        self.available -= bytes as f64;
    }

    /// Whether there is something left for what could wait.
    pub(crate) fn has_credit(&mut self, now: Millis) -> bool {
        self.refill(now);
        self.available > 0.0
    }

    /// Whether an answer may still be sent.
    pub(crate) fn may_answer(&mut self, now: Millis) -> bool {
        self.refill(now);
        self.available > MAX_DEBT
    }
}
