//! One link of an agent: long polls for the feed, one after the other.
use crate::{adaptive_timeout::AdaptiveTimeout, call::CallState};
use magpiegap_protocol::Millis;

/// How long a coordinator may hold a long poll.
const POLL_WAIT_MS: Millis = 1500;
/// Delay before the next poll after one that failed.
const RETRY_DELAY_MS: Millis = 30;
/// Minimum timeout for a coordinator that was not polled before, or has failed: one that is down costs no more.
const MIN_TIMEOUT_MS: Millis = 250;
/// Minimum timeout, beyond the time of the poll itself, for a coordinator that has just served.
const MIN_SERVING_TIMEOUT_MS: Millis = 400;

/// The times of one poll.
pub(crate) struct PollTimes {
    /// How long the coordinator may hold the poll; zero: it responds at once.
    pub(crate) wait_ms: Millis,
    /// How long bytes of the response are waited for beyond that.
    pub(crate) timeout_ms: Millis,
}

/// A link, which polls one coordinator after the other until one serves.
pub(crate) struct FeedLink {
    call: CallState,
    timeout: AdaptiveTimeout,
    /// Position among the candidates from which on the next coordinator is chosen.
    next_candidate: usize,
    /// The coordinator that responded last; `None` after a failure.
    serving: Option<u32>,
}

impl FeedLink {
    /// A link that polls at once, beginning with the candidate at a position.
    pub(crate) fn new(first_candidate: usize) -> FeedLink {
        FeedLink {
            call: CallState::Idle { until: 0 },
            timeout: AdaptiveTimeout::with_min(MIN_TIMEOUT_MS),
            next_candidate: first_candidate,
            serving: None,
        }
    }

    /// The coordinator that serves this link now.
    pub(crate) fn serving(&self) -> Option<u32> {
        self.serving
    }

    /// Position among the candidates from which on the next coordinator is chosen.
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

    /// Puts the next poll off, as there is no coordinator to send it to.
    pub(crate) fn defer(&mut self, now: Millis) {
        self.call = CallState::Idle {
            until: now + RETRY_DELAY_MS,
        };
    }

    /// Starts a poll. Only a coordinator that has just served is given time to hold it: any other one has to prove that it
    /// serves at all.
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

    /// Handles a response that served: the next poll goes out at once.
    pub(crate) fn handle_response(&mut self, now: Millis) {
        let Some(coordinator) = self.call.coordinator() else {
            return;
        };
        self.serving = Some(coordinator);
        self.timeout.on_response();
        self.call = CallState::Idle { until: now };
    }

    /// Handles a poll that failed: the next one goes to another coordinator.
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
