//! Learned capacity, and its floor at the configured quotas.
use crate::common::*;
use crate::setup::{fast, new_harness, shared, slow};
use balancer_core::*;

/// Outdated late responses must not keep reducing capacity after an overload; recovery then takes half a minute.
#[test]
fn capacity_recovers_soon_after_an_overload() {
    let mut harness = new_harness(shared(&[1.0]), 4);
    harness.traffic(5000.0, 60.0, &[0], &fast);
    harness.traffic(8000.0, 60.0, &[0], &slow);
    harness.traffic(6000.0, 60.0, &[0], &fast);
    let from = harness.now;
    harness.traffic(2000.0, 60.0, &[0], &fast);
    let (sent, _) = harness.sent_since(from);
    assert!(
        sent > 100,
        "{sent} of 120 admitted six seconds after the overload"
    );
}

/// Overloaded servers stay slow while their number of calls in flight stays the same. A fixed floor at the quotas keeps
/// them overloaded if responses take four times as long but are still within their objective.
#[test]
fn capacity_floor_drops_while_servers_are_overloaded() {
    let class = Class {
        objective: 1000.0,
        ..class(Effect::Free)
    };
    let mut harness = new_harness(
        Settings {
            classes: vec![class],
            ..shared(&[1.0])
        },
        4,
    );
    let in_flight = |harness: &Harness| {
        harness
            .requests
            .values()
            .filter(|record| record.endings.contains(&None))
            .count()
    };
    harness.traffic(6000.0, 60.0, &[0], &|_| Some((Ending::Ok, 120.0)));
    harness.traffic(8000.0, 60.0, &[0], &|_| Some((Ending::Ok, 700.0)));
    assert!(
        in_flight(&harness) < 14,
        "{} calls are still in flight at overloaded servers",
        in_flight(&harness)
    );
    // Admission recovers once the servers respond as before.
    harness.traffic(9000.0, 60.0, &[0], &|_| Some((Ending::Ok, 120.0)));
    let from = harness.now;
    harness.traffic(2000.0, 60.0, &[0], &|_| Some((Ending::Ok, 120.0)));
    assert!(
        harness.sent_since(from).0 > 110,
        "{} of 120 admitted after the recovery",
        harness.sent_since(from).0
    );
}

/// If calls sent before the last decrease are ignored, only fast responses count once the others take longer than a
/// cycle.
#[test]
fn slow_responses_reduce_capacity() {
    let mut harness = new_harness(shared(&[1.0]), 8);
    let server = |id: UpstreamId| Some((Ending::Ok, if id.0 < 4 { 60.0 } else { 1400.0 }));
    let class = Class {
        objective: 1000.0,
        deadline: 3000.0,
        late_value: 0.5,
        ..class(Effect::Free)
    };
    harness = Harness::new(
        Settings {
            classes: vec![class],
            ..harness.settings
        },
        4,
        (1..=8).map(endpoint).collect(),
    );
    harness.traffic(10_000.0, 120.0, &[0], &server);
    let (sent, _) = harness.sent_since(5000.0);
    assert!(
        sent < 450,
        "{sent} of 600 admitted although many responses are late; the quotas are 300"
    );
}

/// If half of a tier is removed, the capacity floor must shrink with it, or the rest is overloaded.
#[test]
fn capacity_floor_follows_the_ready_upstreams() {
    let admitted = |ready: u64| {
        let mut harness = new_harness(shared(&[1.0]), 8);
        harness.update_endpoints(EndpointUpdate::Full((1..=ready).map(endpoint).collect()));
        harness.traffic(10_000.0, 120.0, &[0], &|_| Some((Ending::Ok, 420.0)));
        harness.sent_since(5000.0).0
    };
    let (all, half) = (admitted(8), admitted(4));
    assert!(
        half * 3 < all * 2,
        "{half} sent to half of the upstreams, {all} to all"
    );
}

/// With too low an initial capacity, lower tiers refuse requests although no response is late.
#[test]
fn lower_tiers_start_with_more_capacity() {
    for (stage, least) in [(0, 0), (1, 60)] {
        let mut harness = new_harness(
            Settings {
                stage,
                ..shared(&[1.0])
            },
            4,
        );
        for id in 0..60 {
            harness.request(id, 0, 0);
            harness.outcome(id, 0, Ending::Ok);
        }
        let (sent, _) = harness.sent_since(0.0);
        assert!(sent >= least, "{sent} admitted in tier {stage}");
    }
}

/// After the loss of a zone, the list names lost upstreams as ready for many seconds, and then upstreams in slow start.
/// If the floor counts either at full capacity, the remaining upstreams are overloaded.
#[test]
fn capacity_floor_counts_only_usable_upstreams() {
    let slightly_late = |_| Some((Ending::Ok, 260.0));
    let rate = |harness: &mut Harness, server: &dyn Fn(UpstreamId) -> Option<(Ending, f64)>| {
        harness.traffic(6000.0, 60.0, &[0], server);
        let from = harness.now;
        harness.traffic(3000.0, 60.0, &[0], server);
        harness.sent_since(from).0
    };
    // Slightly late responses keep capacity at its floor, the quotas of 60 requests per second.
    let mut harness = new_harness(shared(&[1.0]), 4);
    assert!(
        rate(&mut harness, &slightly_late) > 170,
        "not all requests admitted"
    );
    let lost = |id| {
        if id > UpstreamId(2) {
            Some((Ending::ConnectFailed, 100.0))
        } else {
            slightly_late(id)
        }
    };
    let sent = rate(&mut harness, &lost);
    assert!(
        (60..140).contains(&sent),
        "{sent} of 180 admitted with half of the upstreams lost"
    );
    let mut harness = new_harness(shared(&[1.0]), 4);
    rate(&mut harness, &slightly_late);
    let since = harness.now;
    harness.update_endpoints(EndpointUpdate::Delta(
        (3..=4)
            .map(|id| Endpoint {
                since,
                ..endpoint(id)
            })
            .collect(),
    ));
    let sent = rate(&mut harness, &slightly_late);
    assert!(
        (60..140).contains(&sent),
        "{sent} of 180 admitted with half of the upstreams in slow start"
    );
}

/// When several upstreams drain at once, the capacity learned with all of them overloads the remaining ones: seen with
/// five of sixteen.
#[test]
fn learned_capacity_follows_the_ready_upstreams() {
    let mut harness = new_harness(shared(&[1.0]), 8);
    harness.traffic(6000.0, 100.0, &[0], &fast);
    let in_flight = |harness: &Harness| {
        harness
            .requests
            .values()
            .filter(|record| record.endings.contains(&None))
            .count()
    };
    let in_flight_without_responses = |harness: &mut Harness| {
        // Without responses, the number of admitted requests shows the capacity.
        harness.traffic(400.0, 300.0, &[0], &|_| None);
        in_flight(harness)
    };
    let all = in_flight_without_responses(&mut harness);
    let mut harness = new_harness(shared(&[1.0]), 8);
    harness.traffic(6000.0, 100.0, &[0], &fast);
    let draining = |id| Endpoint {
        availability: Availability::Draining,
        ..endpoint(id)
    };
    harness.update_endpoints(EndpointUpdate::Delta((1..=4).map(draining).collect()));
    let half = in_flight_without_responses(&mut harness);
    assert!(
        all > 20 && half * 10 < all * 7,
        "{half} calls admitted with half of the upstreams, {all} with all"
    );
}

/// Errors may come from a downstream tier. If the floor excludes upstreams ejected for errors, each ejection among four
/// upstreams lowers it by a quarter.
#[test]
fn error_ejections_do_not_lower_capacity_floor() {
    let mut harness = new_harness(shared(&[1.0]), 4);
    let server = |id| {
        Some(if id == UpstreamId(4) {
            (Ending::Error, 50.0)
        } else {
            (Ending::Ok, 260.0)
        })
    };
    harness.traffic(8000.0, 60.0, &[0], &server);
    let from = harness.now;
    harness.traffic(4000.0, 60.0, &[0], &server);
    let sent = harness.sent_since(from).0;
    assert!(sent > 225, "{sent} of 240 admitted");
}
