//! Ejection of upstreams that fail, hang or do not respond.
use crate::common::*;
use crate::setup::{fast, new_harness, shared};
use balancer_core::*;
use std::collections::BTreeMap;

#[test]
fn fast_failing_upstream_is_not_preferred() {
    let mut harness = new_harness(shared(&[1.0]), 6);
    let server = |id| {
        Some(if id == UpstreamId(2) {
            (Ending::Error, 2.0)
        } else {
            (Ending::Ok, 120.0)
        })
    };
    harness.traffic(10_000.0, 60.0, &[0], &server);
    let (sent, to) = harness.sent_since(3000.0);
    let failing = to.get(&UpstreamId(2)).copied().unwrap_or(0);
    assert!(
        failing * 20 < sent,
        "{failing} of {sent} went to the failing upstream: {to:?}"
    );
    assert!(
        sent > 350,
        "one upstream's failures reduced total capacity: {sent} of 420 sent"
    );
}

#[test]
fn hung_upstream_is_avoided_without_losing_capacity() {
    let mut harness = new_harness(shared(&[1.0]), 6);
    let server = |id| (id != UpstreamId(2)).then_some((Ending::Ok, 40.0));
    harness.traffic(20_000.0, 60.0, &[0], &server);
    let (sent, to) = harness.sent_since(4000.0);
    let hung = to.get(&UpstreamId(2)).copied().unwrap_or(0);
    assert!(hung <= 12, "{hung} calls went to the hung upstream");
    assert!(sent > 900, "the other upstreams got {sent} of 960 requests");
}

/// When a downstream tier loses a zone, the resulting errors must not eject all upstreams but one, which would then get
/// every call.
#[test]
fn downstream_errors_do_not_eject_most_upstreams() {
    let mut harness = new_harness(shared(&[1.0]), 4);
    harness.traffic(4000.0, 60.0, &[0], &fast);
    let failures = std::cell::RefCell::new(BTreeMap::new());
    harness.traffic(1000.0, 60.0, &[0], &|id| {
        let mut failures = failures.borrow_mut();
        let n = failures.entry(id).or_insert(0);
        *n += 1;
        Some(if id.0 != 4 && *n <= 3 {
            (Ending::Error, 50.0)
        } else {
            (Ending::Ok, 50.0)
        })
    });
    let from = harness.now;
    harness.traffic(1000.0, 60.0, &[0], &fast);
    let (sent, to) = harness.sent_since(from);
    assert!(
        to.len() >= 3 && to.values().all(|&n| n * 2 < sent),
        "{sent} calls went to {to:?}"
    );
}

/// An upstream that accepts calls without responding would get more of them until the first timeout.
#[test]
fn unresponsive_upstream_is_avoided_before_timeouts() {
    let class = Class {
        late_value: 0.5,
        ..class(Effect::SingleShot)
    };
    let mut harness = new_harness(
        Settings {
            classes: vec![class],
            ..shared(&[1.0])
        },
        3,
    );
    harness.traffic(3000.0, 60.0, &[0], &|_| Some((Ending::Ok, 50.0)));
    let from = harness.now;
    let server = |id| (id != UpstreamId(2)).then_some((Ending::Ok, 150.0));
    harness.traffic(1800.0, 40.0, &[0], &server);
    let late = harness
        .requests
        .values()
        .flat_map(|record| &record.sends)
        .filter(|(to, at)| *to == UpstreamId(2) && *at > from + 600.0);
    assert_eq!(
        late.count(),
        0,
        "calls sent after six mean response times without a response"
    );
}

#[test]
fn last_ejected_upstream_still_serves() {
    let mut harness = new_harness(shared(&[1.0]), 1);
    for id in 0..8 {
        harness.request(id, 0, 0);
        let record = &harness.requests[&RequestId(id)];
        assert!(!record.sends.is_empty(), "request {id} has no attempt");
        harness.outcome(id, 0, Ending::Reset);
        if harness.requests[&RequestId(id)].endings.last() == Some(&None) {
            let last = harness.requests[&RequestId(id)].endings.len() - 1;
            harness.outcome(id, last, Ending::Ok);
        }
    }
}

/// With a high failure rate everywhere, unreachable upstreams are no outliers by failure rate; they must be ejected all
/// the same, or every instance keeps trying them.
#[test]
fn refused_connections_eject_despite_widespread_failures() {
    let mut harness = new_harness(shared(&[1.0]), 9);
    harness.traffic(4000.0, 60.0, &[0], &fast);
    let turn = std::cell::Cell::new(0);
    let failing = |id: UpstreamId| {
        turn.set(turn.get() + 1);
        Some(match id.0 {
            1..=4 => (Ending::ConnectFailed, 20.0),
            _ if turn.get() % 2 == 0 => (Ending::Error, 50.0),
            _ => (Ending::Ok, 50.0),
        })
    };
    harness.traffic(3000.0, 60.0, &[0], &failing);
    let from = harness.now;
    harness.traffic(5000.0, 60.0, &[0], &failing);
    let (_, to) = harness.sent_since(from);
    let refused: usize = (1..=4).filter_map(|id| to.get(&UpstreamId(id))).sum();
    let all: usize = to.values().sum();
    assert!(
        refused * 20 < all,
        "{refused} of {all} attempts went to unreachable upstreams"
    );
}
