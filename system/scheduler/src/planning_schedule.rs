//! Decides when the next planning round is due and where in the queue it resumes.
use crate::queue::Urgency;
use magpiegap_protocol::Millis;

/// Number of queued units that add one millisecond to the interval between rounds, because each round iterates over the
/// whole queue.
const QUEUED_PER_PAUSE_MS: u64 = 16;
/// Maximum interval between rounds.
const MAX_PAUSE_MS: Millis = 20;

/// Planning state that is kept from one round to the next.
#[derive(Clone, Debug)]
pub(crate) struct PlanningSchedule {
    /// Something has changed that may allow a task to be placed.
    is_requested: bool,
    /// The next round does not start before this time.
    not_before: Millis,
    /// The first unit that the last round did not examine; `None` if it examined all.
    pub cursor: Option<Urgency>,
}

impl PlanningSchedule {
    /// Creates a schedule whose first round is due immediately.
    pub(crate) fn new(now: Millis) -> PlanningSchedule {
        PlanningSchedule {
            is_requested: true,
            not_before: now,
            cursor: None,
        }
    }

    /// Requests a round as soon as one is allowed.
    pub(crate) fn request_round(&mut self) {
        self.is_requested = true;
    }

    /// Begins a round and returns true if one is due.
    pub(crate) fn try_begin(&mut self, now: Millis) -> bool {
        let is_due = self.is_requested && now >= self.not_before;
        if is_due {
            self.is_requested = false;
        }
        is_due
    }

    /// Ends a round that left `queued` units in the queue.
    pub(crate) fn end_round(&mut self, now: Millis, queued: usize) {
        let pause = (queued as u64 / QUEUED_PER_PAUSE_MS).min(MAX_PAUSE_MS);
        self.not_before = now + pause;
    }
}
