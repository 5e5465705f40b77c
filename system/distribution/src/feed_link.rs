//! A link of an agent: successive long polls for the feed.
use crate::{adaptive_timeout::AdaptiveTimeout, call::CallState};
use magpiegap_protocol::Millis;

/// Maximum time for which a coordinator may hold a long poll.
const POLL_WAIT_MS: Millis = 1500;
/// Delay before the next poll after a failed one.
const RETRY_DELAY_MS: Millis = 30;
/// Minimum timeout for a coordinator that has not yet served or has failed. It bounds the delay by one that is down.
const MIN_TIMEOUT_MS: Millis = 250;
/// Minimum timeout, in addition to the wait of the long poll, for a coordinator that served the last poll.
const MIN_SERVING_TIMEOUT_MS: Millis = 400;

/// Wait and timeout of a poll.
pub(crate) struct PollTimes {
    /// How long the coordinator may hold the poll; zero for an immediate response.
    pub(crate) wait_ms: Millis,
    /// Timeout for the response, in addition to `wait_ms`.
    pub(crate) timeout_ms: Millis,
}

/// A link: polls one coordinator after the other until one serves the feed.
pub(crate) struct FeedLink {
    call: CallState,
    timeout: AdaptiveTimeout,
    /// Position in the list of candidates at which the search for the next coordinator starts.
    next_candidate: usize,
    /// The coordinator that served the last poll; `None` after a failure.
    serving: Option<u32>,
}

impl FeedLink {
    /// A link whose first poll is due immediately, starting with the candidate at a position.
    pub(crate) fn new(first_candidate: usize) -> FeedLink {
        FeedLink {
            call: CallState::Idle { until: 0 },
            timeout: AdaptiveTimeout::with_min(MIN_TIMEOUT_MS),
            next_candidate: first_candidate,
            serving: None,
        }
    }

    /// The coordinator that currently serves this link.
    pub(crate) fn serving(&self) -> Option<u32> {
        self.serving
    }

    /// Position in the list of candidates at which the search for the next coordinator starts.
    pub(crate) fn next_candidate(&self) -> usize {
        self.next_candidate
    }

    /// Whether the next poll is due.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        self.call.is_due(now)
    }

    /// When the next poll is due; `None` while one is in flight.
    pub(crate) fn due_at(&self) -> Option<Millis> {
        self.call.due_at()
    }

    /// Delays the next poll because there is no coordinator to poll.
    pub(crate) fn defer(&mut self, now: Millis) {
        self.call = CallState::Idle {
            until: now + RETRY_DELAY_MS,
        };
    }

    /// Starts a poll. Only a coordinator that served the last poll may hold it. Any other one must respond immediately,
    /// to show that it serves the feed.
    pub(crate) fn start(&mut self, coordinator: u32) -> PollTimes {
        self.call = CallState::InFlight { coordinator };
        let timeout_ms = self.timeout.current_ms();
        if self.serving == Some(coordinator) {
            PollTimes {
                wait_ms: POLL_WAIT_MS,
                timeout_ms: timeout_ms.max(MIN_SERVING_TIMEOUT_MS),
            }
        } else {
            PollTimes {
                wait_ms: 0,
                timeout_ms,
            }
        }
    }

    /// Handles a successful poll. The next one is due immediately.
    pub(crate) fn handle_response(&mut self, now: Millis) {
        let Some(coordinator) = self.call.coordinator() else {
            return;
        };
        self.serving = Some(coordinator);
        self.timeout.on_response();
        self.call = CallState::Idle { until: now };
    }

    /// Handles a failed poll. The next one goes to another coordinator.
    pub(crate) fn handle_failure(&mut self, now: Millis, has_timed_out: bool) {
        if self.call.coordinator().is_none() {
            return;
        }
        self.serving = None;
        if has_timed_out {
            self.timeout.on_timed_out();
        }
        self.next_candidate = self.next_candidate.wrapping_add(1);
        self.call = CallState::Idle {
            until: now + RETRY_DELAY_MS,
        };
    }
}
