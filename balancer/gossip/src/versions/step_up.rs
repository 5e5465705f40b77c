//! The timer of the step up to a higher version. Owns its deadline and delay.
use super::rules::{FIRST_STEP_UP_DELAY, MAX_STEP_UP_DELAY, STABLE_AFTER, STEP_UP_DELAY};

/// The step-up timer. Times are in whole milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct StepUpTimer {
    /// The current step-up delay.
    delay: u64,
    deadline: Option<u64>,
    /// A step down before this time doubles the delay.
    unstable_until: u64,
}

impl StepUpTimer {
    pub(super) fn new() -> StepUpTimer {
        StepUpTimer {
            delay: FIRST_STEP_UP_DELAY,
            deadline: None,
            unstable_until: 0,
        }
    }

    /// The time of the scheduled step up, if any.
    pub(super) fn deadline(&self) -> Option<u64> {
        self.deadline
    }

    /// Schedules a step up after the delay if one is possible, keeping an earlier schedule; otherwise cancels it.
    pub(super) fn arm(&mut self, now: u64, possible: bool) {
        self.deadline = possible.then(|| self.deadline.unwrap_or(now.saturating_add(self.delay)));
    }

    /// Records that the tier is established, so that the short delay for a common start no longer applies.
    pub(super) fn established(&mut self) {
        self.delay = self.delay.max(STEP_UP_DELAY);
    }

    /// Restarts the delay, because a limiting member has announced itself or this replica was paused.
    pub(super) fn restart(&mut self, now: u64) {
        self.established();
        self.deadline = self.deadline.map(|_| now.saturating_add(self.delay));
    }

    pub(super) fn stepped_up(&mut self, now: u64) {
        self.deadline = None;
        self.unstable_until = now.saturating_add(STABLE_AFTER);
    }

    pub(super) fn stepped_down(&mut self, now: u64) {
        self.deadline = None;
        self.delay = if now < self.unstable_until {
            (self.delay.max(STEP_UP_DELAY) * 2).min(MAX_STEP_UP_DELAY)
        } else {
            STEP_UP_DELAY
        };
    }

    /// Shifts the clock back, so that a model has a finite number of states.
    pub(super) fn shift(&mut self, by: u64) {
        self.deadline = self.deadline.map(|deadline| deadline.saturating_sub(by));
        self.unstable_until = self.unstable_until.saturating_sub(by);
    }
}
