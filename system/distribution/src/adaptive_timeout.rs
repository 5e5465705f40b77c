//! A timeout for responses that adapts to the link.
//!
//! It only computes the duration. The caller measures the time and cancels the call.
use magpiegap_protocol::Millis;

/// Upper bound of the timeout.
const MAX_TIMEOUT_MS: Millis = 3000;
/// Factor by which each timed-out call increases the timeout.
const GROWTH_FACTOR: Millis = 2;
/// Each response in time reduces the timeout by its value divided by this.
const DECAY_DIVISOR: Millis = 8;

/// A timeout between a minimum and [`MAX_TIMEOUT_MS`].
///
/// It doubles with each call that times out, so that a slow response on a slow or busy link eventually arrives. It
/// decays slowly while responses arrive, so that a link that stays busy does not time out on every second call.
pub(crate) struct AdaptiveTimeout {
    min_ms: Millis,
    current_ms: Millis,
}

impl AdaptiveTimeout {
    /// A timeout that starts at its minimum, `min_ms`.
    pub(crate) fn with_min(min_ms: Millis) -> AdaptiveTimeout {
        AdaptiveTimeout {
            min_ms,
            current_ms: min_ms,
        }
    }

    pub(crate) fn current_ms(&self) -> Millis {
        self.current_ms
    }

    /// Reduces the timeout after a response that arrived in time.
    pub(crate) fn on_response(&mut self) {
        let shorter = self.current_ms - self.current_ms / DECAY_DIVISOR;
        self.current_ms = shorter.max(self.min_ms);
    }

    /// Increases the timeout after a call that timed out.
    pub(crate) fn on_timed_out(&mut self) {
        self.current_ms = (self.current_ms * GROWTH_FACTOR).min(MAX_TIMEOUT_MS);
    }
}
