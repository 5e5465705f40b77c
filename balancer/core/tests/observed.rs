//! Observations that an instance shares with its tier.
mod common;

use balancer_core::*;
use common::*;

fn new_harness(upstreams: u64) -> Harness {
    let settings = Settings {
        classes: vec![class(Effect::Free)],
        tenants: tenants(&[0.5, 0.5], 400.0),
        ..Settings::default()
    };
    Harness::new(settings, 4, (1..=upstreams).map(endpoint).collect())
}

fn is_close(number: f64, wanted: f64) -> bool {
    (number - wanted).abs() < 0.25 * wanted
}

#[test]
fn observed_load_is_a_mean_over_one_second() {
    let mut harness = new_harness(6);
    // A quarter of the requests belong to the second tenant.
    harness.traffic(12_000.0, 80.0, &[0, 0, 0, 1], &|_| {
        Some((Ending::Ok, 100.0))
    });
    let seen = harness.balancer.observed(harness.now).load;
    assert!(
        is_close(seen.demand, 80.0) && is_close(seen.first_attempts, 80.0) && seen.retries < 0.1,
        "{seen:?}"
    );
    assert!(seen.capacity > 80.0, "{seen:?}");
    // The last entry is for unlisted tenants.
    let [first, second, other] = seen.tenants[..] else {
        panic!("{seen:?}")
    };
    assert!(
        is_close(first.demand, 60.0) && is_close(second.demand, 20.0) && other.demand == 0.0,
        "{seen:?}"
    );
    assert!(
        is_close(first.calls_in_flight, 6.0)
            && is_close(second.calls_in_flight, 2.0)
            && other.calls_in_flight == 0.0,
        "{seen:?}"
    );
    // Without further requests the rates decay, even if they are not read in between.
    let later = harness.balancer.observed(harness.now + 8000.0).load;
    assert!(
        later.demand < 0.1 && later.first_attempts < 0.1,
        "{later:?}"
    );
}

#[test]
fn retries_are_counted_separately() {
    let mut harness = new_harness(6);
    let some = |id: UpstreamId| {
        Some(if id.0 == 1 {
            (Ending::Error, 10.0)
        } else {
            (Ending::Ok, 50.0)
        })
    };
    harness.traffic(1500.0, 80.0, &[0], &some);
    let seen = harness.balancer.observed(harness.now).load;
    assert!(
        seen.retries > 0.5 && seen.retries < seen.first_attempts,
        "{seen:?}"
    );
    let calls_in_flight: f64 = seen.tenants.iter().map(|t| t.calls_in_flight).sum();
    assert!(
        is_close(calls_in_flight, 4.0),
        "failed attempts must not count as in flight: {seen:?}"
    );
}

#[test]
fn unreachable_upstream_is_reported_until_it_responds() {
    let mut harness = new_harness(6);
    let subject = Subject::Upstream(UpstreamId(1));
    harness.traffic(4000.0, 80.0, &[0], &|_| Some((Ending::Ok, 50.0)));
    let seen = harness.balancer.observed(harness.now);
    assert!(
        seen.failing.is_empty() && seen.cleared.is_empty(),
        "{seen:?}"
    );
    let refuses = |id: UpstreamId| {
        Some(if id.0 == 1 {
            (Ending::ConnectFailed, 1.0)
        } else {
            (Ending::Ok, 50.0)
        })
    };
    harness.traffic(1500.0, 80.0, &[0], &refuses);
    let seen = harness.balancer.observed(harness.now);
    assert!(
        seen.failing == [subject] && seen.cleared.is_empty(),
        "{seen:?}"
    );
    harness.traffic(8000.0, 80.0, &[0], &|_| Some((Ending::Ok, 50.0)));
    let seen = harness.balancer.observed(harness.now);
    assert!(
        seen.failing.is_empty() && seen.cleared == [subject],
        "{seen:?}"
    );
    // Errors may come from a downstream tier: they cause ejections but are not shared as evidence.
    let errs = |id: UpstreamId| {
        Some(if id.0 == 2 {
            (Ending::Error, 10.0)
        } else {
            (Ending::Ok, 50.0)
        })
    };
    harness.traffic(2000.0, 80.0, &[0], &errs);
    let seen = harness.balancer.observed(harness.now);
    assert!(seen.failing.is_empty(), "{seen:?}");
}

#[test]
fn ejected_zone_is_reported_first() {
    let endpoint = |id: u64| Endpoint {
        zone: (id % 2) as u16,
        ..endpoint(id)
    };
    let settings = Settings {
        classes: vec![class(Effect::Free)],
        tenants: tenants(&[1.0], 400.0),
        ..Settings::default()
    };
    let mut harness = Harness::new(settings, 4, (1..=8).map(endpoint).collect());
    harness.traffic(4000.0, 100.0, &[0], &|_| Some((Ending::Ok, 50.0)));
    harness.traffic(1500.0, 100.0, &[0], &|id| {
        (id.0 % 2 == 0).then_some((Ending::Ok, 50.0))
    });
    let seen = harness.balancer.observed(harness.now);
    assert_eq!(seen.failing.first(), Some(&Subject::Zone(1)), "{seen:?}");
    let odd = |subject: &Subject| {
        matches!(subject, Subject::Zone(1))
            || matches!(subject, Subject::Upstream(id) if id.0 % 2 == 1)
    };
    assert!(seen.failing.iter().all(odd), "{seen:?}");
}
