//! The fetch of the configuration: one chunk after the other, from coordinators that serve the feed.
//!
//! It does not look into chunks: the receiver does.
use crate::{adaptive_timeout::AdaptiveTimeout, call::CallState};
use magpiegap_protocol::Millis;

/// Delay before the next request after one that failed.
const RETRY_DELAY_MS: Millis = 30;
/// Minimum timeout for the bytes of a chunk.
const MIN_IDLE_TIMEOUT_MS: Millis = 1000;

/// The fetch of the configuration.
pub(crate) struct ConfigurationFetcher {
    call: CallState,
    timeout: AdaptiveTimeout,
    /// The coordinator whose request failed last: another one is preferred.
    failed: Option<u32>,
}

impl ConfigurationFetcher {
    /// A fetch that is due at once.
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

    /// Chooses among coordinators: the first that has not failed last, else the first.
    pub(crate) fn choose(&self, serving: impl Iterator<Item = u32> + Clone) -> Option<u32> {
        serving
            .clone()
            .find(|coordinator| self.failed != Some(*coordinator))
            .or_else(|| serving.clone().next())
    }

    /// Starts a request. Returns how long its bytes are waited for.
    pub(crate) fn start(&mut self, coordinator: u32) -> Millis {
        self.call = CallState::InFlight { coordinator };
        self.timeout.current_ms()
    }

    /// Handles a chunk that was of use: the next request goes out at once.
    pub(crate) fn handle_response(&mut self, now: Millis) {
        self.timeout.on_response();
        self.failed = None;
        self.call = CallState::Idle { until: now };
    }

    /// Handles a request that failed, or brought nothing of use.
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
