//! How long something has not held.
use magpiegap_protocol::Millis;

/// Since when something has not held; nothing while it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Lapse(Option<Millis>);

impl Lapse {
    /// Takes note of whether it holds now.
    pub(crate) fn note(&mut self, holds: bool, now: Millis) {
        self.0 = if holds {
            None
        } else {
            Some(self.0.unwrap_or(now))
        };
    }

    /// Whether it has not held for this long.
    pub(crate) fn lasts(&self, for_ms: Millis, now: Millis) -> bool {
        self.0.is_some_and(|since| now >= since + for_ms)
    }
}
