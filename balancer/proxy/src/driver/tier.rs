//! The tier's other replicas: what is known of them goes to the module, and its observations come from it. Owns no state.
use super::state::Handle;
use balancer_core::{Event, Observed, TierUpdate};

impl Handle {
    /// Tells the module what this replica knows of its tier.
    pub(crate) fn handle_tier_update(&self, update: TierUpdate) {
        self.feed(Event::Tier(Box::new(update)));
    }

    /// Returns what the module observes, for the other replicas.
    pub(crate) fn observed(&self) -> Observed {
        let mut driver = self.0.driver.borrow_mut();
        let now = driver.now();
        driver.balancer.observed(now)
    }
}
