//! When the next round of planning is due, and where in the queue it goes on.
use crate::queue::Urgency;
use magpiegap_protocol::Millis;

/// Queued units for each millisecond between two rounds: a round looks at all of them.
const QUEUED_PER_PAUSE_MS: u64 = 16;
/// Longest time between two rounds, in milliseconds.
const MAX_PAUSE_MS: Millis = 20;

/// The state of planning from one round to the next.
#[derive(Clone, Debug)]
pub(crate) struct PlanningSchedule {
    /// Something has changed that may let a task be placed.
    is_requested: bool,
    /// No round before this time.
    not_before: Millis,
    /// The first unit that the last round did not look at; `None`: it looked at all.
    pub cursor: Option<Urgency>,
}

impl PlanningSchedule {
    /// Creates a schedule whose first round is due at once.
    pub(crate) fn new(now: Millis) -> PlanningSchedule {
        PlanningSchedule {
            is_requested: true,
            not_before: now,
            cursor: None,
        }
    }

    /// Has a round played as soon as one may be.
    pub(crate) fn request(&mut self) {
        self.is_requested = true;
    }

    /// Begins a round if one is due.
    pub(crate) fn try_begin(&mut self, now: Millis) -> bool {
        let is_due = self.is_requested && now >= self.not_before;
        if is_due {
            self.is_requested = false;
        }
        is_due
    }

    /// Ends a round that left so many units in the queue.
    pub(crate) fn end_round(&mut self, now: Millis, queued: usize) {
        let pause = (queued as u64 / QUEUED_PER_PAUSE_MS).min(MAX_PAUSE_MS);
        self.not_before = now + pause;
    }
}
