//! When a step up is due. Owns that, and how long the tier waits for it.
use super::rules::{CALM, PATIENCE, PATIENCE_FIRST, PATIENCE_MOST};

/// Times in whole milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Patience {
    length: u64,
    due: Option<u64>,
    /// Until when a step down counts as following on the last step up.
    unsettled: u64,
}

impl Patience {
    pub(super) fn new() -> Patience {
        Patience { length: PATIENCE_FIRST, due: None, unsettled: 0 }
    }

    /// When the step up is due, if one is.
    pub(super) fn due(&self) -> Option<u64> {
        self.due
    }

    /// Says whether a step up could be made, were it not for patience.
    pub(super) fn wait(&mut self, now: u64, possible: bool) {
        self.due = possible.then(|| self.due.unwrap_or(now.saturating_add(self.length)));
    }

    /// The tier is no longer one that starts together and has agreed on nothing.
    pub(super) fn begun(&mut self) {
        self.length = self.length.max(PATIENCE);
    }

    /// Somebody was heard who holds the tier back, or will: waiting begins anew.
    pub(super) fn anew(&mut self, now: u64) {
        self.begun();
        self.due = self.due.map(|_| now.saturating_add(self.length));
    }

    pub(super) fn stepped_up(&mut self, now: u64) {
        self.due = None;
        self.unsettled = now.saturating_add(CALM);
    }

    pub(super) fn stepped_down(&mut self, now: u64) {
        self.due = None;
        self.length =
            if now < self.unsettled { (self.length.max(PATIENCE) * 2).min(PATIENCE_MOST) } else { PATIENCE };
    }

    /// The same with a clock that reads less, so that a model of it has finitely many states.
    pub(super) fn shift(&mut self, by: u64) {
        self.due = self.due.map(|due| due.saturating_sub(by));
        self.unsettled = self.unsettled.saturating_sub(by);
    }
}
