//! Shared settings, servers and harnesses.
use crate::common::*;
use balancer_core::*;

pub(crate) fn fast(_: UpstreamId) -> Option<(Ending, f64)> {
    Some((Ending::Ok, 50.0))
}

pub(crate) fn slow(_: UpstreamId) -> Option<(Ending, f64)> {
    Some((Ending::Ok, 900.0))
}

pub(crate) fn new_harness(settings: Settings, upstreams: u64) -> Harness {
    Harness::new(settings, 4, (1..=upstreams).map(endpoint).collect())
}

/// Settings with one class (objective 500 ms) and tenants with the given shares of 60 requests per second.
pub(crate) fn shared(shares: &[f64]) -> Settings {
    Settings {
        classes: vec![class(Effect::Free)],
        tenants: tenants(shares, 60.0),
        ..Settings::default()
    }
}
