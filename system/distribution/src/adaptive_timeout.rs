//! A timeout that adapts to the link: how long the bytes of a response are waited for.
//!
//! It reads no clock and cancels nothing: whoever makes the call does.
use magpiegap_protocol::Millis;

/// Upper bound, however many calls have timed out.
const MAX_TIMEOUT_MS: Millis = 3000;
/// Factor by which a timed-out call lengthens the timeout.
const GROWTH_FACTOR: Millis = 2;
/// Each response in time shortens the timeout by one part in this many.
const DECAY_DIVISOR: Millis = 8;

/// A timeout between a minimum and [`MAX_TIMEOUT_MS`].
///
/// It doubles with each call that times out, so that a response which only takes longer, on a slow or busy link, arrives
/// at last; it falls slowly while responses come, so that a link which stays busy does not lose every second one.
pub(crate) struct AdaptiveTimeout {
    min_ms: Millis,
    current_ms: Millis,
}

impl AdaptiveTimeout {
    /// A timeout that starts at its minimum.
    pub(crate) fn with_min(min_ms: Millis) -> AdaptiveTimeout {
        AdaptiveTimeout {
            min_ms,
            current_ms: min_ms,
        }
    }

    /// The current timeout.
    pub(crate) fn current_ms(&self) -> Millis {
        self.current_ms
    }

    /// Shortens the timeout after a response that came in time.
    pub(crate) fn on_response(&mut self) {
        let shorter = self.current_ms - self.current_ms / DECAY_DIVISOR;
        self.current_ms = shorter.max(self.min_ms);
    }

    /// Lengthens the timeout after a call that timed out.
    pub(crate) fn on_timed_out(&mut self) {
        self.current_ms = (self.current_ms * GROWTH_FACTOR).min(MAX_TIMEOUT_MS);
    }
}
