//! Lost zones, and preference for the local zone.
use crate::common::*;
use crate::setup::{fast, shared};
use balancer_core::*;

/// A whole zone that does not respond has too many upstreams to eject one by one.
#[test]
fn partitioned_zone_is_avoided() {
    let endpoints = (1..=12)
        .map(|id| Endpoint {
            zone: (id % 3) as u16,
            ..endpoint(id)
        })
        .collect();
    let mut harness = Harness::new(shared(&[1.0]), 4, endpoints);
    let server = |id: UpstreamId| {
        Some(if id.0 % 3 == 2 {
            (Ending::ConnectFailed, 100.0)
        } else {
            (Ending::Ok, 50.0)
        })
    };
    harness.traffic(12_000.0, 60.0, &[0], &server);
    let (sent, to) = harness.sent_since(4000.0);
    let lost: usize = to
        .iter()
        .filter(|(id, _)| id.0 % 3 == 2)
        .map(|(_, n)| n)
        .sum();
    assert!(
        lost * 25 < sent,
        "{lost} of {sent} attempts went to the partitioned zone"
    );
}

/// An instance whose zone has only one upstream, a slow one, must not send it every call.
#[test]
fn weak_local_zone_spills_to_other_zones() {
    let settings = Settings {
        cross_zone_price: 0.015,
        ..shared(&[1.0])
    };
    let endpoints = (0..4)
        .map(|id| Endpoint {
            zone: id as u16,
            ..endpoint(id)
        })
        .collect();
    let mut harness = Harness::new(settings, 4, endpoints);
    // The upstream in the local zone is slow, but its responses are not late.
    harness.traffic(10_000.0, 60.0, &[0], &|id| {
        Some((Ending::Ok, if id.0 == 0 { 190.0 } else { 60.0 }))
    });
    let (_, to) = harness.sent_since(0.0);
    let all: usize = to.values().sum();
    let own = to[&UpstreamId(0)];
    assert!(
        own * 4 < all,
        "the slow local upstream got {own} of {all} calls"
    );
    assert!(
        to.values().all(|&n| n * 20 > all),
        "some upstream got too few calls: {to:?}"
    );
}

#[test]
fn local_zone_wins_between_equally_busy_upstreams() {
    let settings = Settings {
        cross_zone_price: 0.2,
        ..shared(&[1.0])
    };
    let in_zones = |id| Endpoint {
        zone: (id % 2) as u16,
        ..endpoint(id)
    };
    let mut harness = Harness::new(settings, 4, (1..=12).map(in_zones).collect());
    // Each response arrives before the next call, so that all upstreams are always equally busy.
    harness.traffic(4000.0, 15.0, &[0], &fast);
    let (_, to) = harness.sent_since(0.0);
    let local: usize = to
        .iter()
        .filter(|(id, _)| id.0 % 2 == 0)
        .map(|(_, n)| n)
        .sum();
    let all: usize = to.values().sum();
    assert!(
        local * 10 > all * 6,
        "{local} of {all} calls stayed in the local zone"
    );
    harness.update_endpoints(EndpointUpdate::Full(
        (1..=12).filter(|id| id % 2 == 1).map(in_zones).collect(),
    ));
    let from = harness.now;
    harness.traffic(4000.0, 15.0, &[0], &fast);
    assert!(
        harness.sent_since(from).0 > 55,
        "the other zone must serve when the local one has no upstream"
    );
}
