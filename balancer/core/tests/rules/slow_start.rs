//! Many instances before one upstream in slow start.
use crate::common::*;
use balancer_core::*;

/// What the instances sent while one upstream restarted.
#[derive(Default)]
struct Restart {
    /// Requests that were sent after the restart.
    sent: u32,
    /// Requests that were refused, before it too.
    refused: u32,
    /// When calls were sent to the upstream in slow start.
    slow_start_sends: Vec<f64>,
}

/// Settings of one of many instances, before upstreams that take 20 s for their slow start.
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

/// Plays instances for twenty seconds; each makes a request every so many tenths of a second, served after 50 ms. The
/// first upstream restarts after ten seconds.
fn play_restart(settings: &[Settings], upstreams: u64, interval: usize) -> Restart {
    let endpoints = || (1..=upstreams).map(endpoint).collect::<Vec<_>>();
    let mut harnesses: Vec<Harness> = settings
        .iter()
        .zip(0..)
        .map(|(settings, i)| Harness::new(settings.clone(), i, endpoints()))
        .collect();
    let mut played = Restart::default();
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
                    played.sent += u32::from(step >= 100);
                    if to == UpstreamId(1) && step >= 100 {
                        played.slow_start_sends.push(at);
                    }
                    harness.advance(50.0);
                    harness.outcome(id, 0, Ending::Ok);
                    harness.advance(50.0);
                    continue;
                }
                played.refused += 1;
            }
            harness.advance(100.0);
        }
    }
    played
}

/// Checks each second after the restart, for upstreams that carry so many calls a second at least.
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
            "{calls} calls in second {window} at warmth {weight}"
        );
    }
}

/// Hundreds of balancers see one upstream restart; together they must stay under the tipping point.
#[test]
fn an_upstream_in_slow_start_is_not_overloaded_by_all_together() {
    let tenants = Settings::default().tenants;
    let all: Vec<Settings> = (0..200)
        .map(|i| settings(i, 200, tenants.clone()))
        .collect();
    // Two calls a second and instance.
    let played = play_restart(&all, 20, 5);
    assert!(played.sent > 3000, "the others carry on: {}", played.sent);
    // 400 calls a second over 20 upstreams: each carries 20 a second at least.
    assert_within_budget(&played.slow_start_sends, 20.0);
    assert!(
        !played.slow_start_sends.is_empty(),
        "it is warmed up, not shut out"
    );
}

/// Met on a day of replacements: after an overload little was admitted, an upstream in slow start was given its part
/// of that little, and the others stayed overloaded for as long as it was kept out.
#[test]
fn an_upstream_in_slow_start_gets_its_part_though_little_is_admitted() {
    let tenants = tenants(&[1.0], 400.0);
    let all: Vec<Settings> = (0..40).map(|i| settings(i, 40, tenants.clone())).collect();
    // One call a second and instance, a tenth of the quotas.
    let played = play_restart(&all, 10, 10);
    assert_eq!(played.refused, 0);
    // 40 calls a second over 10 upstreams, each of which carries 40 a second when the quotas are used.
    assert!(
        played.slow_start_sends.len() > 30,
        "{} calls of 400 in ten seconds",
        played.slow_start_sends.len()
    );
    assert_within_budget(&played.slow_start_sends, 40.0);
}
