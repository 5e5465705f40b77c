//! Fetches the configuration chunk by chunk from coordinators that serve the feed.
//!
//! It only schedules the requests. The receiver processes the chunks.
use crate::{adaptive_timeout::AdaptiveTimeout, call::CallState};
use magpiegap_protocol::Millis;

/// Delay before the next request after a failed one.
const RETRY_DELAY_MS: Millis = 30;
/// Minimum timeout between bytes of a chunk.
const MIN_IDLE_TIMEOUT_MS: Millis = 1000;

/// Schedules the requests of a configuration fetch.
pub(crate) struct ConfigurationFetcher {
    call: CallState,
    timeout: AdaptiveTimeout,
    /// The coordinator of the last request if it failed. Other coordinators are preferred.
    failed: Option<u32>,
}

impl ConfigurationFetcher {
    /// A fetcher whose first request is due immediately.
    pub(crate) fn new() -> ConfigurationFetcher {
        ConfigurationFetcher {
            call: CallState::Idle { until: 0 },
            timeout: AdaptiveTimeout::with_min(MIN_IDLE_TIMEOUT_MS),
            failed: None,
        }
    }

    /// Whether the next request is due.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        self.call.is_due(now)
    }

    /// When the next request is due; `None` while one is in flight.
    pub(crate) fn due_at(&self) -> Option<Millis> {
        self.call.due_at()
    }

    /// Whether a request is in flight.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.call.coordinator().is_some()
    }

    /// Chooses the first coordinator that did not fail the last request, or the first one if there is no other.
    pub(crate) fn choose(&self, serving: impl Iterator<Item = u32> + Clone) -> Option<u32> {
        serving
            .clone()
            .find(|coordinator| self.failed != Some(*coordinator))
            .or_else(|| serving.clone().next())
    }

    /// Starts a request. Returns its timeout.
    pub(crate) fn start(&mut self, coordinator: u32) -> Millis {
        self.call = CallState::InFlight { coordinator };
        self.timeout.current_ms()
    }

    /// Handles a usable chunk. The next request is due immediately.
    pub(crate) fn handle_response(&mut self, now: Millis) {
        self.timeout.on_response();
        self.failed = None;
        self.call = CallState::Idle { until: now };
    }

    /// Handles a request that failed or returned nothing usable.
    pub(crate) fn handle_failure(&mut self, now: Millis, has_timed_out: bool) {
        if has_timed_out {
            self.timeout.on_timed_out();
        }
        self.failed = self.call.coordinator();
        self.call = CallState::Idle {
            until: now + RETRY_DELAY_MS,
        };
    }
}
