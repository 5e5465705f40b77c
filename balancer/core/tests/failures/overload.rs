//! Admission when there are more requests than the upstreams can serve.
use crate::common::*;
use crate::setup::{fast, new_harness, shared};
use balancer_core::*;

/// By responses alone, a tier that stops responding looks healthy until the timeouts.
#[test]
fn calls_in_flight_are_bounded_without_responses() {
    let class = Class {
        late_value: 0.5,
        ..class(Effect::Free)
    };
    let mut harness = new_harness(
        Settings {
            classes: vec![class],
            ..shared(&[1.0])
        },
        4,
    );
    harness.traffic(5000.0, 60.0, &[0], &fast);
    let from = harness.now;
    harness.traffic(1500.0, 60.0, &[0], &|_| None);
    let (sent, _) = harness.sent_since(from);
    assert!(
        sent < 60,
        "{sent} of 90 calls sent to a tier that does not respond"
    );
}

/// If each failure in an overload is attributed to its upstream alone, capacity is never reduced, and all requests
/// admitted up to the quotas and beyond are lost.
#[test]
fn widespread_failures_reduce_capacity_below_the_quotas() {
    let mut harness = new_harness(shared(&[1.0]), 6);
    harness.traffic(5000.0, 60.0, &[0], &fast);
    harness.traffic(10_000.0, 60.0, &[0], &|_| Some((Ending::Error, 5.0)));
    let from = harness.now;
    harness.traffic(5000.0, 60.0, &[0], &|_| Some((Ending::Error, 5.0)));
    let (sent, _) = harness.sent_since(from);
    assert!(sent < 150, "{sent} of 300 calls sent while nearly all fail");
    assert!(sent > 0, "no calls left to detect a recovery");
    let lines = harness
        .log
        .iter()
        .filter(|a| matches!(a, Action::Log(_)))
        .count();
    assert!(
        (1..=3).contains(&lines),
        "each change of state must be logged once: {lines} lines"
    );
}

/// Calls for clients with little time left are given up soon after, and delay requests that still have time.
#[test]
fn requests_with_too_little_time_are_refused() {
    let short = Class {
        deadline: 80.0,
        ..class(Effect::Free)
    };
    let mut harness = new_harness(
        Settings {
            classes: vec![class(Effect::Free), short],
            ..shared(&[1.0])
        },
        8,
    );
    let sent = |harness: &Harness, id: u32| !harness.requests[&RequestId(id)].sends.is_empty();
    // Without learned response times it is sent.
    harness.request(10_000, 1, 0);
    assert!(sent(&harness, 10_000), "refused before the first response");
    harness.traffic(3000.0, 40.0, &[0], &|_| Some((Ending::Ok, 120.0)));
    harness.request(10_001, 0, 0);
    harness.request(10_002, 1, 0);
    assert!(
        sent(&harness, 10_001) && !sent(&harness, 10_002),
        "only the request with enough time must be sent"
    );
    // Without calls in flight, sending it delays no other request and updates the response time.
    harness.advance(3000.0);
    harness.request(10_003, 1, 0);
    assert!(
        sent(&harness, 10_003),
        "an outdated response time is never updated"
    );
}

/// Number of instances in a fleet.
const INSTANCES: u32 = 40;

/// All instances, with eight upstreams and quotas of ten requests per second and instance.
fn all_instances() -> Vec<Harness> {
    let tenants = vec![Tenant {
        share: 1.0,
        quota_per_s: 10.0 * f64::from(INSTANCES),
    }];
    let settings = |index| Settings {
        index,
        balancers: INSTANCES,
        tenants: tenants.clone(),
        ..shared(&[1.0])
    };
    (0..INSTANCES)
        .map(|i| new_harness(settings(i), 8))
        .collect()
}

/// With unevenly distributed traffic and an equal part of the quotas each, busy instances refuse requests although all
/// instances together use only three quarters of the quotas.
#[test]
fn busy_instances_may_use_unused_quota() {
    let mut harnesses = all_instances();
    // Ten instances get twice their equal part, the others less than half of it. Responses are slightly late, so that
    // capacity does not grow.
    let requested = |i: usize| if i < 10 { 20.0 } else { 4.0 };
    let server = |_| Some((Ending::Ok, 240.0));
    let mut served = 0;
    for _ in 0..30 {
        let from = harnesses[0].now;
        for (i, harness) in harnesses.iter_mut().enumerate() {
            for id in (1..=8).map(UpstreamId).filter(|_| served > 0) {
                harness.handle(Event::Served {
                    upstream: id,
                    per_s: f64::from(served) / 8.0,
                });
            }
            harness.traffic(1000.0, requested(i), &[0], &server);
        }
        served = harnesses
            .iter()
            .map(|harness| harness.sent_since(from).0 as u32)
            .sum();
    }
    let from = harnesses[0].now - 10_000.0;
    let busy: usize = harnesses[..10]
        .iter()
        .map(|harness| harness.sent_since(from).0)
        .sum();
    assert!(
        busy > 1800,
        "ten busy instances sent {busy} of 2000 requests"
    );
    assert!(
        served < 400,
        "{served} requests per second exceed the quotas"
    );
}

/// If every instance learns a capacity of up to twice its admitted rate, the sum exceeds the real capacity, and a burst
/// overloads the upstreams before responses show it.
#[test]
fn burst_admission_stays_close_to_the_quotas() {
    let mut harnesses = all_instances();
    let mut second = |requested: f64, served: usize| -> usize {
        let sent = |harness: &mut Harness| {
            let from = harness.now;
            for id in (1..=8).map(UpstreamId) {
                harness.handle(Event::Served {
                    upstream: id,
                    per_s: served as f64 / 8.0,
                });
            }
            harness.traffic(1000.0, requested, &[0], &fast);
            harness.sent_since(from).0
        };
        harnesses.iter_mut().map(sent).sum()
    };
    let mut served = 9 * INSTANCES as usize;
    for _ in 0..15 {
        served = second(9.0, served);
    }
    assert!(served > 350, "{served} of 360 admitted at low load");
    for _ in 0..12 {
        served = second(25.0, served);
    }
    assert!(
        served < 500,
        "{served} admitted in a burst; the quotas are 400"
    );
}
