//! Many instances before one upstream in slow start.
use crate::common::*;
use balancer_core::*;

/// Hundreds of balancers see one upstream restart; together they must stay under the tipping point.
#[test]
fn an_upstream_in_slow_start_is_not_overloaded_by_all_together() {
    const INSTANCES: u32 = 200;
    let settings = |index| Settings {
        index,
        balancers: INSTANCES,
        slow_start_from: 0.15,
        slow_start_time: 20_000.0,
        overload_multiple: 2.5,
        ..Settings::default()
    };
    let endpoints = || (1..=20).map(endpoint).collect::<Vec<_>>();
    let mut harnesses: Vec<Harness> = (0..INSTANCES)
        .map(|i| Harness::new(settings(i), u64::from(i), endpoints()))
        .collect();
    let (mut id, mut sent_to, mut slow_start_sends) = (0, 0, Vec::new());
    for step in 0..200 {
        // Two calls a second and instance, served after 50 ms; the upstream restarts after ten seconds.
        for (i, harness) in harnesses.iter_mut().enumerate() {
            if step == 100 {
                harness.update_endpoints(EndpointUpdate::Delta(vec![Endpoint {
                    since: harness.now,
                    ..endpoint(1)
                }]));
            }
            if (step + i).is_multiple_of(5) {
                id += 1;
                harness.request(id, 0, 0);
                if let Some(&(to, at)) = harness.requests[&RequestId(id)].sends.last() {
                    sent_to += u32::from(step >= 100);
                    if to == UpstreamId(1) && step >= 100 {
                        slow_start_sends.push(at);
                    }
                    harness.advance(50.0);
                    harness.outcome(id, 0, Ending::Ok);
                    harness.advance(50.0);
                    continue;
                }
            }
            harness.advance(100.0);
        }
    }
    assert!(sent_to > 3000, "the others carry on: {sent_to}");
    // 400 calls a second over 20 upstreams: each carries 20 a second at least.
    for window in 0..10 {
        let from = 10_000.0 + f64::from(window) * 1000.0;
        let calls = slow_start_sends
            .iter()
            .filter(|&&t| t >= from && t < from + 1000.0)
            .count() as f64;
        let weight = 0.15 + 0.85 * f64::from(window) / 20.0;
        assert!(
            calls <= 2.5 * 20.0 * weight,
            "{calls} calls in second {window} at warmth {weight}"
        );
    }
    assert!(
        !slow_start_sends.is_empty(),
        "it is warmed up, not shut out"
    );
}

/// Met on a day of replacements: after an overload little was admitted, an upstream in slow start was given its part
/// of that little, and the others stayed overloaded for as long as it was kept out.
#[test]
fn an_upstream_in_slow_start_gets_its_part_though_little_is_admitted() {
    const INSTANCES: u32 = 40;
    let settings = |index| Settings {
        index,
        balancers: INSTANCES,
        tenants: tenants(&[1.0], 400.0),
        slow_start_from: 0.15,
        slow_start_time: 20_000.0,
        overload_multiple: 2.5,
        ..Settings::default()
    };
    let endpoints = || (1..=10).map(endpoint).collect::<Vec<_>>();
    let mut harnesses: Vec<Harness> = (0..INSTANCES)
        .map(|i| Harness::new(settings(i), u64::from(i), endpoints()))
        .collect();
    let (mut id, mut slow_start_sends) = (0, Vec::new());
    for step in 0..200 {
        // One call a second and instance, a tenth of the quotas; the upstream restarts after ten seconds.
        for (i, harness) in harnesses.iter_mut().enumerate() {
            if step == 100 {
                harness.update_endpoints(EndpointUpdate::Delta(vec![Endpoint {
                    since: harness.now,
                    ..endpoint(1)
                }]));
            }
            if (step + i).is_multiple_of(10) {
                id += 1;
                harness.request(id, 0, 0);
                let (to, at) = harness.requests[&RequestId(id)].sends[0];
                if to == UpstreamId(1) && step >= 100 {
                    slow_start_sends.push(at);
                }
                harness.advance(50.0);
                harness.outcome(id, 0, Ending::Ok);
                harness.advance(50.0);
                continue;
            }
            harness.advance(100.0);
        }
    }
    // 40 calls a second over 10 upstreams, each of which carries 40 a second when the quotas are used.
    assert!(
        slow_start_sends.len() > 30,
        "{} calls of 400 in ten seconds",
        slow_start_sends.len()
    );
    for window in 0..10 {
        let from = 10_000.0 + f64::from(window) * 1000.0;
        let calls = slow_start_sends
            .iter()
            .filter(|&&t| t >= from && t < from + 1000.0)
            .count() as f64;
        let weight = 0.15 + 0.85 * f64::from(window) / 20.0;
        assert!(
            calls <= 2.5 * 40.0 * weight,
            "{calls} calls in second {window} at warmth {weight}"
        );
    }
}
