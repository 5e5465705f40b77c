//! How often a replica requests what it is missing from its source.
use magpiegap_protocol::Millis;

/// Time until a source that has not responded is sent the second request.
const INITIAL_BACKOFF_MS: Millis = 60;
/// Longest time between two requests.
const MAX_BACKOFF_MS: Millis = 2000;

/// The pause between requests: longer each time, since a snapshot takes long to make and to send.
#[derive(Clone, Debug)]
pub(crate) struct CatchUpBackoff {
    /// When the source was last sent a request; `None`: not since the last reset.
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

    /// Shortens the pause to the initial one; the time of the last request stays.
    pub(crate) fn shorten(&mut self) {
        self.backoff_ms = INITIAL_BACKOFF_MS;
    }

    /// Whether a request may be sent now.
    pub(crate) fn allows_request(&self, now: Millis) -> bool {
        self.requested_at
            .is_none_or(|requested_at| now >= requested_at + self.backoff_ms)
    }

    /// Records a request, and doubles the pause up to its bound. A request at time 0 counts as one at 1.
    pub(crate) fn record_request(&mut self, now: Millis) {
        self.requested_at = Some(now.max(1));
        self.backoff_ms = (2 * self.backoff_ms).min(MAX_BACKOFF_MS);
    }

    /// Records a response to a request of which more is in flight: waiting starts anew.
    pub(crate) fn record_response(&mut self, now: Millis) {
        self.requested_at = Some(now.max(1));
        self.backoff_ms = INITIAL_BACKOFF_MS;
    }
}
