//! How long a condition has not been met.
use magpiegap_protocol::Millis;

/// Since when a condition has not been met; nothing while it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Outage(Option<Millis>);

impl Outage {
    /// Records whether the condition is met now.
    pub(crate) fn observe(&mut self, is_met: bool, now: Millis) {
        self.0 = if is_met {
            None
        } else {
            Some(self.0.unwrap_or(now))
        };
    }

    /// Whether the condition has not been met for this long.
    pub(crate) fn has_lasted(&self, duration_ms: Millis, now: Millis) -> bool {
        self.0.is_some_and(|since| now >= since + duration_ms)
    }
}
