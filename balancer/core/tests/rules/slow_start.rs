//! Many instances with one upstream in slow start.
use crate::common::*;
use balancer_core::*;

/// Requests and calls of all instances around the restart of one upstream.
#[derive(Default)]
struct Restart {
    /// Requests sent after the restart.
    sent: u32,
    /// Requests refused, including those before the restart.
    refused: u32,
    /// Send times of calls to the upstream in slow start.
    slow_start_sends: Vec<f64>,
}

/// Settings of one of many instances, with a slow start of 20 s.
fn settings(index: u32, balancers: u32, tenants: Vec<Tenant>) -> Settings {
    Settings {
        index,
        balancers,
        tenants,
        slow_start_from: 0.15,
        slow_start_time: 20_000.0,
        overload_multiple: 2.5,
        ..Settings::default()
    }
}

/// Runs the instances for 20 s. Each makes a request every `interval` tenths of a second, served after 50 ms. The first
/// upstream restarts after 10 s.
fn simulate_restart(settings: &[Settings], upstreams: u64, interval: usize) -> Restart {
    let endpoints = || (1..=upstreams).map(endpoint).collect::<Vec<_>>();
    let mut harnesses: Vec<Harness> = settings
        .iter()
        .zip(0..)
        .map(|(settings, i)| Harness::new(settings.clone(), i, endpoints()))
        .collect();
    let mut restart = Restart::default();
    let mut id = 0;
    for step in 0..200 {
        for (i, harness) in harnesses.iter_mut().enumerate() {
            if step == 100 {
                harness.update_endpoints(EndpointUpdate::Delta(vec![Endpoint {
                    since: harness.now,
                    ..endpoint(1)
                }]));
            }
            if (step + i).is_multiple_of(interval) {
                id += 1;
                harness.request(id, 0, 0);
                if let Some(&(to, at)) = harness.requests[&RequestId(id)].sends.last() {
                    restart.sent += u32::from(step >= 100);
                    if to == UpstreamId(1) && step >= 100 {
                        restart.slow_start_sends.push(at);
                    }
                    harness.advance(50.0);
                    harness.outcome(id, 0, Ending::Ok);
                    harness.advance(50.0);
                    continue;
                }
                restart.refused += 1;
            }
            harness.advance(100.0);
        }
    }
    restart
}

/// Checks each second after the restart, for upstreams with a capacity of at least `per_upstream` calls per second.
fn assert_within_budget(slow_start_sends: &[f64], per_upstream: f64) {
    for window in 0..10 {
        let from = 10_000.0 + f64::from(window) * 1000.0;
        let calls = slow_start_sends
            .iter()
            .filter(|&&t| t >= from && t < from + 1000.0)
            .count() as f64;
        let weight = 0.15 + 0.85 * f64::from(window) / 20.0;
        assert!(
            calls <= 2.5 * per_upstream * weight,
            "{calls} calls in second {window} at slow-start weight {weight}"
        );
    }
}

/// When an upstream restarts, hundreds of balancers together must not overload it.
#[test]
fn many_instances_respect_the_slow_start_budget() {
    let tenants = Settings::default().tenants;
    let all: Vec<Settings> = (0..200)
        .map(|i| settings(i, 200, tenants.clone()))
        .collect();
    // Each instance makes two calls per second.
    let restart = simulate_restart(&all, 20, 5);
    assert!(restart.sent > 3000, "only {} requests sent", restart.sent);
    // 400 calls per second over 20 upstreams: each has a capacity of at least 20 per second.
    assert_within_budget(&restart.slow_start_sends, 20.0);
    assert!(
        !restart.slow_start_sends.is_empty(),
        "the upstream in slow start got no calls"
    );
}

/// After an overload few requests are admitted. If the slow-start budget shrinks with them, the upstream in slow start
/// gets too few calls, and the others stay overloaded.
#[test]
fn slow_start_traffic_suffices_at_low_admission() {
    let tenants = tenants(&[1.0], 400.0);
    let all: Vec<Settings> = (0..40).map(|i| settings(i, 40, tenants.clone())).collect();
    // Each instance makes one call per second, a tenth of the quotas.
    let restart = simulate_restart(&all, 10, 10);
    assert_eq!(restart.refused, 0);
    // 40 calls per second over 10 upstreams, each with a capacity of 40 per second by the quotas.
    assert!(
        restart.slow_start_sends.len() > 30,
        "{} of 400 calls in ten seconds",
        restart.slow_start_sends.len()
    );
    assert_within_budget(&restart.slow_start_sends, 40.0);
}
