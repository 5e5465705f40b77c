//! Shares of capacity between tenants.
use crate::common::*;
use crate::setup::{fast, new_harness, shared};
use balancer_core::*;

#[test]
fn only_the_tenant_over_its_limit_is_refused() {
    let mut harness = new_harness(shared(&[0.6, 0.4]), 4);
    // Tenant 0 makes nine times as many requests as tenant 1; late responses limit the capacity.
    harness.traffic(20_000.0, 150.0, &[0, 0, 0, 0, 0, 0, 0, 0, 0, 1], &|_| {
        Some((Ending::Ok, 232.0))
    });
    let share = |tenant: usize| {
        let of = |id: &RequestId| usize::from(id.0 % 10 == 9) == tenant;
        let requested = harness
            .requests
            .iter()
            .filter(|(id, record)| of(id) && record.deadline > 12_000.0);
        let (all, sent) = requested.fold((0u32, 0u32), |(a, n), (_, record)| {
            (a + 1, n + u32::from(!record.sends.is_empty()))
        });
        f64::from(sent) / f64::from(all)
    };
    assert!(share(1) > 0.95, "within its share: {} admitted", share(1));
    assert!(share(0) < 0.9, "over its share: {} admitted", share(0));
}

/// A large tenant far over its share must not take capacity from small tenants that are within theirs.
#[test]
fn over_limit_tenant_bears_the_overload() {
    let mut harness = new_harness(shared(&[0.4, 0.3, 0.3]), 4);
    let tenants = [0, 0, 0, 0, 0, 0, 0, 0, 1, 2];
    harness.traffic(4000.0, 60.0, &tenants, &fast);
    let from = harness.now;
    harness.traffic(10_000.0, 200.0, &tenants, &|_| Some((Ending::Ok, 190.0)));
    let passed = |of: &dyn Fn(u32) -> bool| {
        let requested: Vec<_> = harness
            .requests
            .iter()
            .filter(|(id, record)| of(id.0 % 10) && record.deadline > from + 5000.0)
            .collect();
        requested
            .iter()
            .filter(|(_, record)| !record.sends.is_empty())
            .count() as f64
            / requested.len() as f64
    };
    let (large, small) = (passed(&|t| t < 8), passed(&|t| t >= 8));
    assert!(
        small > 0.65 && large < 0.3,
        "{small} of the small tenants' calls admitted, {large} of the large one's"
    );
}

#[test]
fn new_tenant_gets_a_limit_immediately() {
    let mut harness = new_harness(shared(&[0.5, 0.5]), 4);
    harness.advance(1.0);
    for id in 0..300 {
        harness.request(id, 0, 0);
        if !harness.requests[&RequestId(id)].sends.is_empty() {
            harness.outcome(id, 0, Ending::Ok);
        }
    }
    assert!(
        harness.requests[&RequestId(299)].sends.is_empty(),
        "tenant 0 has not used up the cycle's capacity"
    );
    assert!(
        matches!(harness.request(300, 0, 1)[..], [Action::Send { .. }]),
        "tenant 1 has to wait for the next cycle"
    );
}

/// With equal default limits, a tenant with a large share would get no more than one with a small share.
#[test]
fn configured_shares_set_the_default_limits() {
    let mut harness = new_harness(shared(&[0.8, 0.2]), 4);
    harness.traffic(12_000.0, 150.0, &[0, 1], &|_| Some((Ending::Ok, 232.0)));
    let sent = |odd: u32| {
        let of = |(id, record): &(&RequestId, &RequestRecord)| {
            id.0 % 2 == odd && !record.sends.is_empty()
        };
        harness.requests.iter().filter(of).count()
    };
    assert!(
        sent(0) > 2 * sent(1),
        "{} requests of the large tenant admitted, {} of the small one",
        sent(0),
        sent(1)
    );
}
