//! The backoff between catch-up requests to the source.
use magpiegap_protocol::Millis;

/// Initial backoff. Each request doubles it, so a source that does not respond is sent the second request after twice
/// this time.
const INITIAL_BACKOFF_MS: Millis = 60;
/// Upper bound of the backoff.
const MAX_BACKOFF_MS: Millis = 2000;

/// An exponential backoff: making and sending a snapshot takes time, so retries must not pile up.
#[derive(Clone, Debug)]
pub(crate) struct CatchUpBackoff {
    /// When the last request was sent; `None` when none was sent since the reset.
    requested_at: Option<Millis>,
    backoff_ms: Millis,
}

impl CatchUpBackoff {
    /// A backoff that allows a request at once.
    pub(crate) fn new() -> CatchUpBackoff {
        CatchUpBackoff {
            requested_at: None,
            backoff_ms: INITIAL_BACKOFF_MS,
        }
    }

    /// Resets the backoff to its initial value, but keeps the time of the last request.
    pub(crate) fn shorten(&mut self) {
        self.backoff_ms = INITIAL_BACKOFF_MS;
    }

    /// Whether a request may be sent now.
    pub(crate) fn allows_request(&self, now: Millis) -> bool {
        self.requested_at
            .is_none_or(|requested_at| now >= requested_at + self.backoff_ms)
    }

    /// Records a request and doubles the backoff up to its bound. A request at time 0 is recorded at time 1.
    pub(crate) fn record_request(&mut self, now: Millis) {
        self.requested_at = Some(now.max(1));
        self.backoff_ms = (2 * self.backoff_ms).min(MAX_BACKOFF_MS);
    }

    /// Records a partial response: the initial backoff starts again now.
    pub(crate) fn record_response(&mut self, now: Millis) {
        self.requested_at = Some(now.max(1));
        self.backoff_ms = INITIAL_BACKOFF_MS;
    }
}
