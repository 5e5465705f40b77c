//! Which upstream is taken, and the subset that a balancer connects to.
use crate::common::*;
use crate::setup::{fast, new_harness, shared};
use balancer_core::*;
use std::collections::BTreeMap;

/// Instances that carry little hold nothing at most upstreams: a slow kind got as much as a fast one.
#[test]
fn of_two_with_as_many_calls_in_flight_the_faster_one_is_picked() {
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
    assert!(slow * 3 < sent, "{slow} of {sent} went to the slow ones");
    assert!(slow > 0, "what was learned fades, and they are tried again");
}

/// An instance with little traffic compares zeros; it once sent all its calls to the same few.
#[test]
fn an_instance_with_little_traffic_spreads_its_calls() {
    let mut harness = new_harness(shared(&[1.0]), 5);
    harness.traffic(60_000.0, 1.0, &[0], &fast);
    let (sent, to) = harness.sent_since(0.0);
    let max = to.values().max().copied().unwrap_or(0);
    assert!(to.len() == 5 && max * 3 < sent, "{to:?}");
}

/// Connections grow as instances times servers: each instance uses a stable part that its traffic keeps open.
#[test]
fn the_subset_follows_the_traffic_and_is_balanced_between_instances() {
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
            "copy {index} used {} upstreams",
            to.len()
        );
        to.keys().for_each(|id| *load.entry(*id).or_insert(0) += 1);
    }
    let max = load.values().max().copied().unwrap_or(0);
    assert!(
        load.len() == 40 && max <= 7,
        "{max} copies on one upstream, {} used",
        load.len()
    );
}

/// Upstreams cap their connections and serve worse with many: a tier ran out of them, and never recovered, when
/// each of a hundred instances with a few calls in flight kept one open to most upstreams.
#[test]
fn an_instance_with_little_traffic_opens_few_connections_from_the_start() {
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

/// Met on days of a large fleet: each of many instances had one call at most at a slow upstream, which seemed as little
/// as elsewhere, and all together they overloaded it.
#[test]
fn many_instances_with_a_call_each_do_not_overload_a_slow_upstream() {
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
                // What the upstream has in flight from all comes with its response.
                let Call { id, upstream, .. } = calls.swap_remove(due);
                *in_flight.entry(upstream).or_insert(0.0) -= 1.0;
                harness.handle(Event::Load {
                    upstream,
                    in_flight: in_flight[&upstream],
                });
                harness.outcome(id, 0, Ending::Ok);
            }
            // Five calls a second and instance. Seven upstreams take 100 ms; the slow one works on one at a time.
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
        "{INSTANCES} copies have up to {max} calls at the slow upstream"
    );
}

#[test]
fn overloaded_upstreams_are_used_where_there_are_no_others_and_odd_reports_do_no_harm() {
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
    assert_eq!(harness.sent_since(0.0).0, 20, "all pass");
}

/// An instance with few calls learns of each upstream late. Until then it sent slow kinds as much as fast ones, and all
/// instances together overloaded them in the first seconds.
#[test]
fn instances_avoid_a_slow_kind_known_from_other_upstreams_only() {
    const INSTANCES: u32 = 200;
    let slow = |id: UpstreamId| id.0 % 2 == 1;
    let tenants = vec![Tenant {
        share: 1.0,
        quota_per_s: 100.0 * f64::from(INSTANCES),
    }];
    let answer = |id| Some((Ending::Ok, if slow(id) { 300.0 } else { 100.0 }));
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
        // Ten of 40 upstreams at most have responded to this instance.
        harness.traffic(100.0, 100.0, &[0], &answer);
        harness.traffic(350.0, 2.0, &[0], &answer);
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
    assert!(all >= 4 * INSTANCES as usize, "only {all} sent");
    assert!(
        to_slow * 5 < all * 2,
        "{to_slow} of {all} go to the slow half"
    );
}
