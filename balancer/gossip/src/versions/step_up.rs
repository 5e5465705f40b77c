//! The timer of a step up to a higher version. Owns its deadline and its delay.
use super::rules::{FIRST_STEP_UP_DELAY, MAX_STEP_UP_DELAY, STABLE_AFTER, STEP_UP_DELAY};

/// The step-up timer. Times are in whole milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct StepUpTimer {
    /// The current delay of a step up.
    delay: u64,
    deadline: Option<u64>,
    /// Until then a step down counts as following on the last step up.
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

    /// The time of the step up, if one is scheduled.
    pub(super) fn deadline(&self) -> Option<u64> {
        self.deadline
    }

    /// Schedules a step up where one is possible, after the delay; cancels it where none is.
    pub(super) fn arm(&mut self, now: u64, possible: bool) {
        self.deadline = possible.then(|| self.deadline.unwrap_or(now.saturating_add(self.delay)));
    }

    /// The tier is no longer one that starts together and has agreed on nothing.
    pub(super) fn established(&mut self) {
        self.delay = self.delay.max(STEP_UP_DELAY);
    }

    /// A member that limits the tier, or will, has announced itself: the delay starts anew.
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

    /// Moves the clock back by this much, so that a model of it has finitely many states.
    pub(super) fn shift(&mut self, by: u64) {
        self.deadline = self.deadline.map(|deadline| deadline.saturating_sub(by));
        self.unstable_until = self.unstable_until.saturating_sub(by);
    }
}
