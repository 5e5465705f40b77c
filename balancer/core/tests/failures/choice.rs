//! Choice of upstreams, and the subset that a balancer connects to.
use crate::common::*;
use crate::setup::{fast, new_harness, shared};
use balancer_core::*;
use std::collections::BTreeMap;

/// An instance with little traffic has no calls in flight at most upstreams, so calls in flight alone would not favor
/// faster ones.
#[test]
fn faster_of_two_equally_busy_upstreams_is_picked() {
    let mut harness = new_harness(shared(&[1.0]), 6);
    let server =
        |id: UpstreamId| Some((Ending::Ok, if id.0.is_multiple_of(2) { 60.0 } else { 15.0 }));
    harness.traffic(20_000.0, 20.0, &[0], &server);
    let (sent, to) = harness.sent_since(5000.0);
    let slow: usize = to
        .iter()
        .filter(|(id, _)| id.0 % 2 == 0)
        .map(|(_, n)| n)
        .sum();
    assert!(
        slow * 3 < sent,
        "{slow} of {sent} went to the slow upstreams"
    );
    assert!(slow > 0, "the slow upstreams were never tried again");
}

/// With no calls in flight anywhere, all comparisons are ties, which must not always favor the same upstreams.
#[test]
fn low_traffic_instances_spread_their_calls() {
    let mut harness = new_harness(shared(&[1.0]), 5);
    harness.traffic(60_000.0, 1.0, &[0], &fast);
    let (sent, to) = harness.sent_since(0.0);
    let max = to.values().max().copied().unwrap_or(0);
    assert!(to.len() == 5 && max * 3 < sent, "{to:?}");
}

/// Full meshes need instances times servers connections; so each instance uses a stable subset sized to its traffic.
#[test]
fn subset_follows_traffic_and_is_balanced() {
    let mut load = BTreeMap::new();
    for index in 0..20 {
        let settings = Settings {
            index,
            balancers: 20,
            ..shared(&[1.0])
        };
        let mut harness =
            Harness::new(settings, u64::from(index), (1..=40).map(endpoint).collect());
        harness.traffic(12_000.0, 8.0, &[0], &fast);
        let (_, to) = harness.sent_since(6000.0);
        assert!(
            (5..=14).contains(&to.len()),
            "instance {index} used {} upstreams",
            to.len()
        );
        to.keys().for_each(|id| *load.entry(*id).or_insert(0) += 1);
    }
    let max = load.values().max().copied().unwrap_or(0);
    assert!(
        load.len() == 40 && max <= 7,
        "{max} instances on one upstream, {} upstreams used",
        load.len()
    );
}

/// Upstreams limit their connections and slow down with many. If each of a hundred instances with few calls keeps a
/// connection to most upstreams, the tier runs out of connections and does not recover.
#[test]
fn low_traffic_instances_open_few_connections() {
    let settings = Settings {
        balancers: 20,
        idle_close: 30_000.0,
        ..shared(&[1.0])
    };
    let mut harness = Harness::new(settings, 4, (1..=100).map(endpoint).collect());
    harness.traffic(20_000.0, 3.0, &[0], &|_| Some((Ending::Ok, 200.0)));
    let (sent, to) = harness.sent_since(0.0);
    assert!(
        sent > 40 && to.len() <= 10,
        "{sent} calls used {} upstreams",
        to.len()
    );
}

/// A call in flight.
struct Call {
    ends_at: f64,
    instance: usize,
    id: u32,
    upstream: UpstreamId,
}

/// In a large fleet each instance has at most one call at a slow upstream, no more than elsewhere, yet all instances
/// together overload it.
#[test]
fn many_instances_do_not_overload_a_slow_upstream() {
    const INSTANCES: u32 = 40;
    let slow = UpstreamId(1);
    let settings = |index| Settings {
        index,
        balancers: INSTANCES,
        ..shared(&[1.0])
    };
    let mut harnesses: Vec<Harness> = (0..INSTANCES)
        .map(|i| new_harness(settings(i), 8))
        .collect();
    let mut in_flight = BTreeMap::new();
    let mut calls: Vec<Call> = Vec::new();
    let mut max = 0.0;
    for step in 0..1500 {
        for (instance, harness) in harnesses.iter_mut().enumerate() {
            harness.advance(10.0);
            let now = harness.now;
            let is_due = |call: &Call| call.instance == instance && call.ends_at <= now;
            while let Some(due) = calls.iter().position(is_due) {
                // Each response reports the upstream's calls in flight from all instances.
                let Call { id, upstream, .. } = calls.swap_remove(due);
                *in_flight.entry(upstream).or_insert(0.0) -= 1.0;
                harness.handle(Event::Load {
                    upstream,
                    in_flight: in_flight[&upstream],
                });
                harness.outcome(id, 0, Ending::Ok);
            }
            // Each instance sends five calls per second. Seven upstreams take 100 ms per call; the slow one processes one
            // call at a time.
            if !(step + instance).is_multiple_of(20) {
                continue;
            }
            let id = step as u32;
            harness.request(id, 0, 0);
            let Some(&(upstream, at)) = harness.requests[&RequestId(id)].sends.first() else {
                continue;
            };
            let at_upstream = in_flight.entry(upstream).or_insert(0.0);
            *at_upstream += 1.0;
            let ahead = if upstream == slow { *at_upstream } else { 1.0 };
            calls.push(Call {
                ends_at: at + 100.0 * ahead,
                instance,
                id,
                upstream,
            });
        }
        if step >= 500 {
            max = in_flight.get(&slow).copied().unwrap_or(0.0).max(max);
        }
    }
    assert!(
        max < 10.0,
        "{INSTANCES} instances have up to {max} calls at the slow upstream"
    );
}

#[test]
fn invalid_or_uniform_overload_reports_block_no_requests() {
    let mut harness = new_harness(shared(&[1.0]), 3);
    for odd in [f64::NAN, f64::INFINITY, -1e300] {
        harness.handle(Event::Load {
            upstream: UpstreamId(1),
            in_flight: odd,
        });
    }
    harness.handle(Event::Load {
        upstream: UpstreamId(77),
        in_flight: 5.0,
    });
    (1..=3).for_each(|id| {
        _ = harness.handle(Event::Load {
            upstream: UpstreamId(id),
            in_flight: 1e9,
        })
    });
    harness.traffic(1000.0, 20.0, &[0], &fast);
    assert_eq!(harness.sent_since(0.0).0, 20, "not all requests sent");
}

/// An instance with few calls takes long to learn each upstream's response time. Unless it learns by machine type, all
/// instances together overload the slow machines in the first seconds.
#[test]
fn slow_machine_types_are_avoided_at_unknown_upstreams() {
    const INSTANCES: u32 = 200;
    let slow = |id: UpstreamId| id.0 % 2 == 1;
    let tenants = vec![Tenant {
        share: 1.0,
        quota_per_s: 100.0 * f64::from(INSTANCES),
    }];
    let server = |id| Some((Ending::Ok, if slow(id) { 300.0 } else { 100.0 }));
    let endpoints = || {
        (1..=40)
            .map(|id| Endpoint {
                kind: (id % 2) as u8,
                ..endpoint(id)
            })
            .collect()
    };
    let (mut all, mut to_slow) = (0, 0);
    for index in 0..INSTANCES {
        let settings = Settings {
            index,
            balancers: INSTANCES,
            tenants: tenants.clone(),
            ..shared(&[1.0])
        };
        let mut harness = Harness::new(settings, u64::from(index), endpoints());
        // At most ten of 40 upstreams have responded to this instance.
        harness.traffic(100.0, 100.0, &[0], &server);
        harness.traffic(350.0, 2.0, &[0], &server);
        let from = harness.now;
        harness.traffic(50.0, 100.0, &[0], &|_| None);
        let (requests, to) = harness.sent_since(from);
        all += requests;
        to_slow += to
            .iter()
            .filter(|(&id, _)| slow(id))
            .map(|(_, n)| n)
            .sum::<usize>();
    }
    assert!(all >= 4 * INSTANCES as usize, "only {all} requests sent");
    assert!(
        to_slow * 5 < all * 2,
        "{to_slow} of {all} calls went to the slow half"
    );
}
