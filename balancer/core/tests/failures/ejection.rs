//! Upstreams that fail, hang or do not respond: ejection, and its limits.
use crate::common::*;
use crate::setup::{fast, new_harness, shared};
use balancer_core::*;
use std::collections::BTreeMap;

#[test]
fn a_fast_failing_upstream_does_not_win_every_comparison() {
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
        "{failing} of {sent} went to the failing one: {to:?}"
    );
    assert!(
        sent > 350,
        "its failures are its own and cost the others no capacity: {sent} of 420"
    );
}

#[test]
fn a_hung_upstream_is_avoided_and_costs_no_capacity() {
    let mut harness = new_harness(shared(&[1.0]), 6);
    let server = |id| (id != UpstreamId(2)).then_some((Ending::Ok, 40.0));
    harness.traffic(20_000.0, 60.0, &[0], &server);
    let (sent, to) = harness.sent_since(4000.0);
    let hung = to.get(&UpstreamId(2)).copied().unwrap_or(0);
    assert!(hung <= 12, "{hung} calls went to the hung one");
    assert!(sent > 900, "the others carry on: {sent} of 960");
}

/// Met in an incident: a zone of the tier behind was lost, and the few errors that came of it ejected all servers
/// here but one, which then took every call.
#[test]
fn errors_that_come_from_behind_do_not_leave_all_calls_to_one() {
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

/// An upstream that took calls and responded to none went on getting more until the first timeout.
#[test]
fn an_unresponsive_upstream_is_avoided_at_once() {
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
        .flat_map(|s| &s.sends)
        .filter(|(to, at)| *to == UpstreamId(2) && *at > from + 600.0);
    assert_eq!(
        late.count(),
        0,
        "it has owed an answer for six usual ones by then"
    );
}

#[test]
fn an_ejected_upstream_serves_when_it_is_the_last() {
    let mut harness = new_harness(shared(&[1.0]), 1);
    for id in 0..8 {
        harness.request(id, 0, 0);
        let s = &harness.requests[&RequestId(id)];
        assert!(!s.sends.is_empty(), "request {id} is tried");
        harness.outcome(id, 0, Ending::Reset);
        if harness.requests[&RequestId(id)].endings.last() == Some(&None) {
            let last = harness.requests[&RequestId(id)].endings.len() - 1;
            harness.outcome(id, last, Ending::Ok);
        }
    }
}

/// Met on days that lose a zone: while many calls failed everywhere, servers that could not be reached were ejected no
/// more, and every instance kept trying them.
#[test]
fn refused_connections_eject_their_upstream_though_calls_fail_everywhere() {
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
        "{refused} of {all} attempts went where no connection comes up"
    );
}
