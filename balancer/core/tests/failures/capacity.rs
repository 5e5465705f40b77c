//! The limit on calls in flight: how it is learned, and its floor at the stated quotas.
use crate::common::*;
use crate::setup::{fast, new_harness, shared, slow};
use balancer_core::*;

/// Capacity once spiralled down on outdated responses and took half a minute to recover.
#[test]
fn capacity_recovers_soon_after_an_overload() {
    let mut harness = new_harness(shared(&[1.0]), 4);
    harness.traffic(5000.0, 60.0, &[0], &fast);
    harness.traffic(8000.0, 60.0, &[0], &slow);
    harness.traffic(6000.0, 60.0, &[0], &fast);
    let from = harness.now;
    harness.traffic(2000.0, 60.0, &[0], &fast);
    let (sent, _) = harness.sent_since(from);
    assert!(sent > 100, "{sent} of 120 pass six seconds after the end");
}

/// Met in an incident: overloaded servers stay slow for as long as they have as many calls in flight, and the floor at
/// the quotas left them there, with responses that took four times as long and yet were in time.
#[test]
fn the_floor_gives_way_while_servers_are_overloaded() {
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
    let out = |harness: &Harness| {
        harness
            .requests
            .values()
            .filter(|s| s.endings.contains(&None))
            .count()
    };
    harness.traffic(6000.0, 60.0, &[0], &|_| Some((Ending::Ok, 120.0)));
    harness.traffic(8000.0, 60.0, &[0], &|_| Some((Ending::Ok, 700.0)));
    assert!(
        out(&harness) < 14,
        "{} calls are still out at crowded servers",
        out(&harness)
    );
    // It recovers once they respond as before.
    harness.traffic(9000.0, 60.0, &[0], &|_| Some((Ending::Ok, 120.0)));
    let from = harness.now;
    harness.traffic(2000.0, 60.0, &[0], &|_| Some((Ending::Ok, 120.0)));
    assert!(
        harness.sent_since(from).0 > 110,
        "{} of 120 pass again",
        harness.sent_since(from).0
    );
}

/// Calls sent before the last cut were left out: with responses slower than a cycle only the fast ones were counted.
#[test]
fn capacity_counts_the_slow_responses_too() {
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
        "{sent} of 600 admitted, though many answers are late; the quotas are 300"
    );
}

/// Half of a tier went away, and the stated quotas went on as the floor of what was sent to the rest.
#[test]
fn the_floor_follows_the_ready_upstreams() {
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

/// Tiers below refused for want of capacity at the start, though none of their responses was late.
#[test]
fn a_tier_below_starts_with_more_capacity() {
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
        assert!(sent >= least, "{sent} pass in tier {stage}");
    }
}

/// Met on days that lose a zone: the list names lost upstreams as ready for many seconds, and ones in slow start at
/// once; the floor took them for full ones, and what it let pass overloaded those that were left.
#[test]
fn the_floor_counts_only_upstreams_that_can_be_used() {
    let unhurried = |_| Some((Ending::Ok, 260.0));
    let rate = |harness: &mut Harness, server: &dyn Fn(UpstreamId) -> Option<(Ending, f64)>| {
        harness.traffic(6000.0, 60.0, &[0], server);
        let from = harness.now;
        harness.traffic(3000.0, 60.0, &[0], server);
        harness.sent_since(from).0
    };
    // Responses a little late keep the capacity at its floor: the quotas, 60 a second.
    let mut harness = new_harness(shared(&[1.0]), 4);
    assert!(rate(&mut harness, &unhurried) > 170, "all pass");
    let lost = |id| {
        if id > UpstreamId(2) {
            Some((Ending::ConnectFailed, 100.0))
        } else {
            unhurried(id)
        }
    };
    let sent = rate(&mut harness, &lost);
    assert!(
        (60..140).contains(&sent),
        "{sent} of 180 pass with half of the upstreams lost"
    );
    let mut harness = new_harness(shared(&[1.0]), 4);
    rate(&mut harness, &unhurried);
    let since = harness.now;
    harness.update_endpoints(EndpointUpdate::Delta(
        (3..=4)
            .map(|id| Endpoint {
                since,
                ..endpoint(id)
            })
            .collect(),
    ));
    let sent = rate(&mut harness, &unhurried);
    assert!(
        (60..140).contains(&sent),
        "{sent} of 180 pass with half of the upstreams cold"
    );
}

/// Met on days that replace servers: five of sixteen drained at once, and what had been learned with sixteen overloaded
/// the eleven that were left.
#[test]
fn learned_capacity_follows_the_upstreams_there_are() {
    let mut harness = new_harness(shared(&[1.0]), 8);
    harness.traffic(6000.0, 100.0, &[0], &fast);
    let out = |harness: &Harness| {
        harness
            .requests
            .values()
            .filter(|s| s.endings.contains(&None))
            .count()
    };
    let hold = |harness: &mut Harness| {
        // Nothing responds for a moment: what passes shows the capacity.
        harness.traffic(400.0, 300.0, &[0], &|_| None);
        out(harness)
    };
    let all = hold(&mut harness);
    let mut harness = new_harness(shared(&[1.0]), 8);
    harness.traffic(6000.0, 100.0, &[0], &fast);
    let draining = |id| Endpoint {
        availability: Availability::Draining,
        ..endpoint(id)
    };
    harness.update_endpoints(EndpointUpdate::Delta((1..=4).map(draining).collect()));
    let half = hold(&mut harness);
    assert!(
        all > 20 && half * 10 < all * 7,
        "{half} calls pass with half of the upstreams, {all} with all"
    );
}

/// Met on the earlier days: with four servers, one ejected for errors took a quarter off the floor each time, though
/// the errors came from the tier behind.
#[test]
fn an_upstream_ejected_for_errors_still_counts_in_the_floor() {
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
    assert!(sent > 225, "{sent} of 240 pass");
}
