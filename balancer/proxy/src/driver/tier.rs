//! Passes the state of the tier's replicas to the module, and its observations to the replicas. Owns no state.
use super::state::Handle;
use balancer_core::{Event, Observed, TierUpdate};

impl Handle {
    /// Passes an update of the tier to the module.
    pub(crate) fn handle_tier_update(&self, update: TierUpdate) {
        self.feed(Event::Tier(Box::new(update)));
    }

    /// Returns the module's observations for the other replicas.
    pub(crate) fn observed(&self) -> Observed {
        let mut driver = self.0.driver.borrow_mut();
        let now = driver.now();
        driver.balancer.observed(now)
    }
}
