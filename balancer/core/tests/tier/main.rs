//! Effects of tier updates on many instances with the same servers.
#[path = "../common/mod.rs"]
mod common;
mod evidence;
mod limits;
mod recovery;
mod updates;

use common::tier::*;

/// Sets the demand of two tenants with equal shares, each as a multiple of the servers' capacity.
fn set_demand(tier: &mut TierSimulation, first: f64, second: f64) {
    let rate = |multiple: f64| TenantRate {
        per_s: multiple * tier.capacity(),
        first_class: 0.5,
    };
    tier.rates = vec![rate(first), rate(second)];
}

fn steady_tier(instances: usize, seed: u64) -> TierSimulation {
    let mut tier = TierSimulation::new(instances, 12, settings(instances), seed);
    set_demand(&mut tier, 0.4, 0.4);
    tier.run(10_000.0);
    tier
}

fn any_request(_: &ClientRequest) -> bool {
    true
}
