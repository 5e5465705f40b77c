//! The timer of a step up to a higher version. Owns its due time and its delay.
use super::rules::{FIRST_STEP_UP_DELAY, MAX_STEP_UP_DELAY, SETTLED_AFTER, STEP_UP_DELAY};

/// Times in whole milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct StepUpTimer {
    length: u64,
    due: Option<u64>,
    /// Until when a step down counts as following on the last step up.
    unsettled: u64,
}

impl StepUpTimer {
    pub(super) fn new() -> StepUpTimer {
        StepUpTimer {
            length: FIRST_STEP_UP_DELAY,
            due: None,
            unsettled: 0,
        }
    }

    /// When the step up is due, if one is.
    pub(super) fn due(&self) -> Option<u64> {
        self.due
    }

    /// Says whether a step up could be made, were it not for the delay.
    pub(super) fn arm(&mut self, now: u64, possible: bool) {
        self.due = possible.then(|| self.due.unwrap_or(now.saturating_add(self.length)));
    }

    /// The tier is no longer one that starts together and has agreed on nothing.
    pub(super) fn established(&mut self) {
        self.length = self.length.max(STEP_UP_DELAY);
    }

    /// A member that limits the tier, or will, has announced itself: the delay starts anew.
    pub(super) fn restart(&mut self, now: u64) {
        self.established();
        self.due = self.due.map(|_| now.saturating_add(self.length));
    }

    pub(super) fn stepped_up(&mut self, now: u64) {
        self.due = None;
        self.unsettled = now.saturating_add(SETTLED_AFTER);
    }

    pub(super) fn stepped_down(&mut self, now: u64) {
        self.due = None;
        self.length = if now < self.unsettled {
            (self.length.max(STEP_UP_DELAY) * 2).min(MAX_STEP_UP_DELAY)
        } else {
            STEP_UP_DELAY
        };
    }

    /// The same with a clock that reads less, so that a model of it has finitely many states.
    pub(super) fn shift(&mut self, by: u64) {
        self.due = self.due.map(|due| due.saturating_sub(by));
        self.unsettled = self.unsettled.saturating_sub(by);
    }
}
