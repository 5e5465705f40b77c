//! The tier's other copies, as the module hears of them and tells them. Owns no state.
use super::state::Handle;
use balancer_core::{Event, Observed, TierUpdate};

impl Handle {
    /// Tells the module what this copy has heard of its tier.
    pub(crate) fn tier(&self, word: TierUpdate) {
        self.feed(Event::Tier(Box::new(word)));
    }

    /// What the module observes, for the others.
    pub(crate) fn observed(&self) -> Observed {
        let mut d = self.0.driver.borrow_mut();
        let now = d.now();
        d.balancer.observed(now)
    }
}
