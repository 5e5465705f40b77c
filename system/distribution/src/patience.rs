//! How long an answer is waited for.
use magpiegap_protocol::Millis;

/// Longest patience, however often answers did not come in time.
const MOST_MS: Millis = 3000;
/// With each answer that came in time the patience falls by this part of itself.
const DECAY: Millis = 8;

/// How long the bytes of an answer may be waited for. It doubles with each answer that did not come in time, so that one
/// which only takes longer, on a slow or busy link, arrives at last; it falls slowly while answers come, so that a link
/// which stays busy does not lose every second one.
pub(crate) struct Patience {
    least_ms: Millis,
    now_ms: Millis,
}

impl Patience {
    /// Patience that is never less than this.
    pub(crate) fn of_at_least(least_ms: Millis) -> Patience {
        Patience {
            least_ms,
            now_ms: least_ms,
        }
    }

    /// How long it is now.
    pub(crate) fn ms(&self) -> Millis {
        self.now_ms
    }

    /// An answer came.
    pub(crate) fn answered(&mut self) {
        self.now_ms = (self.now_ms - self.now_ms / DECAY).max(self.least_ms);
    }

    /// An answer did not come in time.
    pub(crate) fn unanswered(&mut self) {
        self.now_ms = (self.now_ms * 2).min(MOST_MS);
    }
}
