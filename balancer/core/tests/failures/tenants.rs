//! Shares of capacity between tenants.
use crate::common::*;
use crate::setup::{fast, new_harness, shared};
use balancer_core::*;

#[test]
fn an_over_limit_tenant_is_refused_and_one_within_its_share_is_not() {
    let mut harness = new_harness(shared(&[0.6, 0.4]), 4);
    // Tenant 0 asks for nine times as much as tenant 1; responses come late, so capacity is short.
    harness.traffic(20_000.0, 150.0, &[0, 0, 0, 0, 0, 0, 0, 0, 0, 1], &|_| {
        Some((Ending::Ok, 232.0))
    });
    let share = |tenant: usize| {
        let of = |id: &RequestId| usize::from(id.0 % 10 == 9) == tenant;
        let requested = harness
            .requests
            .iter()
            .filter(|(id, s)| of(id) && s.deadline > 12_000.0);
        let (all, sent) = requested.fold((0u32, 0u32), |(a, n), (_, s)| {
            (a + 1, n + u32::from(!s.sends.is_empty()))
        });
        f64::from(sent) / f64::from(all)
    };
    assert!(share(1) > 0.95, "within its share: {} passes", share(1));
    assert!(share(0) < 0.9, "over its share: {} passes", share(0));
}

/// A large tenant far over its share took a third of everything while small ones within theirs were refused.
#[test]
fn overload_is_borne_by_the_tenant_that_is_over_its_limit() {
    let mut harness = new_harness(shared(&[0.4, 0.3, 0.3]), 4);
    let tenants = [0, 0, 0, 0, 0, 0, 0, 0, 1, 2];
    harness.traffic(4000.0, 60.0, &tenants, &fast);
    let from = harness.now;
    harness.traffic(10_000.0, 200.0, &tenants, &|_| Some((Ending::Ok, 190.0)));
    let passed = |of: &dyn Fn(u32) -> bool| {
        let requested: Vec<_> = harness
            .requests
            .iter()
            .filter(|(id, s)| of(id.0 % 10) && s.deadline > from + 5000.0)
            .collect();
        requested
            .iter()
            .filter(|(_, s)| !s.sends.is_empty())
            .count() as f64
            / requested.len() as f64
    };
    let (large, small) = (passed(&|t| t < 8), passed(&|t| t >= 8));
    assert!(
        small > 0.65 && large < 0.3,
        "{small} of the small tenants' calls pass, {large} of the large one's"
    );
}

#[test]
fn a_new_tenant_ends_the_cycle_early_and_has_a_limit_at_once() {
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
        "tenant 0 has used up the cycle's capacity"
    );
    assert!(
        matches!(harness.request(300, 0, 1)[..], [Action::Send { .. }]),
        "tenant 1 need not wait for the next"
    );
}

/// Equal defaults would hold a tenant with most of the shares to the same as one with a few.
#[test]
fn stated_shares_set_the_defaults() {
    let mut harness = new_harness(shared(&[0.8, 0.2]), 4);
    harness.traffic(12_000.0, 150.0, &[0, 1], &|_| Some((Ending::Ok, 232.0)));
    let sent = |odd: u32| {
        let of = |(id, s): &(&RequestId, &RequestRecord)| id.0 % 2 == odd && !s.sends.is_empty();
        harness.requests.iter().filter(of).count()
    };
    assert!(
        sent(0) > 2 * sent(1),
        "{} of the large tenant pass, {} of the small one",
        sent(0),
        sent(1)
    );
}
