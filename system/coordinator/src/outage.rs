//! Measures how long a condition has been unmet.
use magpiegap_protocol::Millis;

/// Start of the period in which a condition has been unmet; `None` while it is met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outage(Option<Millis>);

impl Outage {
    /// Records whether the condition is currently met.
    pub(crate) fn observe(&mut self, is_met: bool, now: Millis) {
        self.0 = if is_met {
            None
        } else {
            Some(self.0.unwrap_or(now))
        };
    }

    /// Returns whether the condition has been unmet for at least the given duration.
    pub(crate) fn has_lasted(&self, duration_ms: Millis, now: Millis) -> bool {
        self.0.is_some_and(|since| now >= since + duration_ms)
    }
}
