//! Lost, partitioned, slow, flapping and drained zones, as seen by one instance.
mod common;

use balancer_core::*;
use common::*;
use std::cell::Cell;

const RESPONSE_TIME: f64 = 250.0;

fn settings() -> Settings {
    let class = Class {
        objective: 1000.0,
        deadline: 3000.0,
        late_value: 0.5,
        ..class(Effect::Free)
    };
    Settings {
        classes: vec![class],
        tenants: tenants(&[1.0], 60.0),
        cancel: true,
        cross_zone_price: 0.01,
        ..Settings::default()
    }
}

fn zone_of(id: UpstreamId) -> u16 {
    (id.0 % 3) as u16
}

fn listed() -> Vec<Endpoint> {
    (0..24)
        .map(|id| Endpoint {
            zone: (id % 3) as u16,
            ..endpoint(id)
        })
        .collect()
}

fn new_harness() -> Harness {
    Harness::new(settings(), 4, listed())
}

/// Sends traffic. `slow` gives a factor on the response time by zone, or `None` for a zone that does not respond.
fn run(harness: &mut Harness, span: f64, per_s: f64, slow: impl Fn(u16) -> Option<f64>) {
    harness.traffic(span, per_s, &[0], &|id| {
        slow(zone_of(id)).map(|times| (Ending::Ok, RESPONSE_TIME * times))
    });
}

/// Drops the responses to all calls in flight to a zone.
fn drop_in_flight(harness: &mut Harness, zone: u16) {
    let requests = &harness.requests;
    harness.scheduled.retain(|response| {
        let sends = &requests[&RequestId(response.request)].sends;
        zone_of(sends[response.attempt].0) != zone
    });
}

/// Attempts since `from`, by zone.
fn sent(harness: &Harness, from: f64) -> [usize; 3] {
    let mut by = [0; 3];
    harness
        .sent_since(from)
        .1
        .into_iter()
        .for_each(|(id, n)| by[usize::from(zone_of(id))] += n);
    by
}

/// Removes and returns the log lines about zones.
fn take_zone_log(harness: &mut Harness) -> Vec<String> {
    let log = std::mem::take(&mut harness.log);
    let line = |a| match a {
        Action::Log(line) if line.starts_with("zone ") => Some(line),
        _ => None,
    };
    log.into_iter().filter_map(line).collect()
}

fn healthy(_: u16) -> Option<f64> {
    Some(1.0)
}

fn except(lost: u16) -> impl Fn(u16) -> Option<f64> {
    move |zone| (zone != lost).then_some(1.0)
}

fn has_line(log: &[String], start: &str) -> bool {
    log.iter().any(|line| line.starts_with(start))
}

#[test]
fn lost_zone_is_ejected_and_returns_gradually() {
    let mut harness = new_harness();
    run(&mut harness, 20_000.0, 60.0, healthy);
    assert_eq!(take_zone_log(&mut harness), Vec::<String>::new());
    let lost_at = harness.now;
    drop_in_flight(&mut harness, 0);
    run(&mut harness, 600.0, 60.0, except(0));
    let log = take_zone_log(&mut harness);
    assert!(has_line(&log, "zone 0 ejected: "), "{log:?}");
    let ejected_at = harness.now;
    run(&mut harness, 4000.0, 60.0, except(0));
    let after = sent(&harness, ejected_at);
    assert!(
        after[0] * 100 <= after.iter().sum::<usize>() * 2,
        "more than trial calls to the lost zone: {after:?} {log:?} {:?}",
        take_zone_log(&mut harness)
    );
    assert_hung_calls_were_retried(&harness, lost_at);
    assert_returns_by_degrees(&mut harness);
}

/// Checks that calls in flight to zone 0 at its loss were retried elsewhere and served.
fn assert_hung_calls_were_retried(harness: &Harness, lost_at: f64) {
    let hung = |record: &&RequestRecord| {
        let first = record.sends.first();
        first.is_some_and(|(id, at)| zone_of(*id) == 0 && *at > lost_at - RESPONSE_TIME)
    };
    let hung: Vec<&RequestRecord> = harness.requests.values().filter(hung).collect();
    let served = hung
        .iter()
        .filter(|record| record.endings.last() == Some(&Some(Ending::Ok)))
        .count();
    assert!(
        hung.len() >= 3 && served * 4 >= hung.len() * 3,
        "{served} of {}",
        hung.len()
    );
}

/// Checks that traffic gradually returns to zone 0 after its recovery.
fn assert_returns_by_degrees(harness: &mut Harness) {
    let recovered_at = harness.now;
    let mut local = Vec::new();
    for _ in 0..16 {
        let from = harness.now;
        run(harness, 1000.0, 60.0, healthy);
        local.push(sent(harness, from)[0]);
    }
    let log = take_zone_log(harness);
    let has = |line: &str| log.iter().any(|logged| logged == line);
    assert!(
        has("zone 0 is returning: accepts 0.125 of its draws"),
        "{log:?}"
    );
    assert!(has("zone 0 is near: accepts 1.000 of its draws"), "{log:?}");
    let all = sent(harness, recovered_at).iter().sum::<usize>() / 16;
    assert!(
        local[1] * 2 < all.max(2),
        "traffic returned too fast: {local:?} of {all}"
    );
    assert!(
        local[15] * 2 > all,
        "traffic did not return completely: {local:?} of {all}"
    );
}

/// If all zones fail or slow down together, as with a shared dependency, ejecting one would only overload the rest.
#[test]
fn simultaneous_timeouts_or_slowness_eject_no_zone() {
    let mut harness = new_harness();
    run(&mut harness, 10_000.0, 60.0, healthy);
    run(&mut harness, 5000.0, 60.0, |_| None);
    assert_eq!(take_zone_log(&mut harness), Vec::<String>::new());
    let mut harness = new_harness();
    run(&mut harness, 10_000.0, 60.0, healthy);
    for slow in [1.4, 1.8, 2.2, 2.6, 3.0] {
        run(&mut harness, 2000.0, 60.0, |_| Some(slow));
    }
    assert_eq!(take_zone_log(&mut harness), Vec::<String>::new());
}

/// If the local zone is partitioned from the others, or the two others are lost, it uses the upstreams that respond.
#[test]
fn partitioned_instance_uses_only_its_own_zone() {
    let mut harness = new_harness();
    run(&mut harness, 20_000.0, 40.0, healthy);
    run(&mut harness, 1500.0, 40.0, |zone| {
        (zone == 0).then_some(1.0)
    });
    let from = harness.now;
    run(&mut harness, 4000.0, 40.0, |zone| {
        (zone == 0).then_some(1.0)
    });
    let after = sent(&harness, from);
    assert!(
        after[0] > 20 && after[1] + after[2] <= after[0] / 10,
        "{after:?}"
    );
}

/// A zone that responds slowly is not ejected: it gets fewer calls, and none are cancelled.
#[test]
fn slow_local_zone_gets_less_traffic_without_ejection() {
    let mut harness = new_harness();
    run(&mut harness, 20_000.0, 40.0, healthy);
    let local = sent(&harness, 10_000.0);
    assert!(
        local[0] * 10 > local.iter().sum::<usize>() * 5,
        "too few local calls while the zone is healthy: {local:?}"
    );
    let from = harness.now;
    run(&mut harness, 10_000.0, 40.0, |zone| {
        Some(if zone == 0 { 2.0 } else { 1.0 })
    });
    let slow = sent(&harness, from + 5000.0);
    assert!(
        slow[0] * 3 < slow.iter().sum::<usize>(),
        "too many local calls while the zone is slow: {slow:?}"
    );
    assert_eq!(take_zone_log(&mut harness), Vec::<String>::new());
    let from = harness.now;
    run(&mut harness, 20_000.0, 40.0, healthy);
    let recovered = sent(&harness, from + 15_000.0);
    assert!(
        recovered[0] * 10 > recovered.iter().sum::<usize>() * 5,
        "too few local calls after the recovery: {recovered:?}"
    );
}

/// If half of a zone's upstreams fail, the other half keeps it in service, and the failing ones are ejected one by one.
#[test]
fn half_failed_zone_is_not_ejected() {
    let mut harness = new_harness();
    run(&mut harness, 10_000.0, 60.0, healthy);
    harness.traffic(8000.0, 60.0, &[0], &|id| {
        let fails = zone_of(id) == 1 && id.0 % 2 == 0;
        Some(if fails {
            (Ending::ConnectFailed, 1.0)
        } else {
            (Ending::Ok, RESPONSE_TIME)
        })
    });
    assert_eq!(take_zone_log(&mut harness), Vec::<String>::new());
}

/// One upstream that fails with many calls in flight must not cause the ejection of its zone.
#[test]
fn one_broken_upstream_does_not_eject_its_zone() {
    let mut harness = new_harness();
    run(&mut harness, 10_000.0, 200.0, healthy);
    let in_flight = |harness: &Harness| -> Vec<(u32, usize)> {
        let open = harness
            .requests
            .iter()
            .filter(|(_, record)| record.endings.last() == Some(&None));
        open.map(|(id, record)| (id.0, record.sends.len() - 1))
            .collect()
    };
    let mut broken = 0;
    // Reset all calls in flight to four upstreams of zone 0.
    for (id, attempt) in in_flight(&harness) {
        let to = harness.requests[&RequestId(id)].sends[attempt].0;
        if zone_of(to) == 0 && to.0 < 12 {
            harness
                .scheduled
                .retain(|response| (response.request, response.attempt) != (id, attempt));
            harness.outcome(id, attempt, Ending::Reset);
            broken += 1;
        }
    }
    assert!(broken >= 7, "{broken}");
    harness.advance(150.0);
    assert_eq!(take_zone_log(&mut harness), Vec::<String>::new());
}

/// A zone that refuses all connections is ejected like one that times out.
#[test]
fn zone_refusing_all_connections_is_ejected() {
    let mut harness = new_harness();
    run(&mut harness, 10_000.0, 60.0, healthy);
    harness.traffic(3000.0, 60.0, &[0], &|id| {
        Some(if zone_of(id) == 0 {
            (Ending::ConnectFailed, 1.0)
        } else {
            (Ending::Ok, RESPONSE_TIME)
        })
    });
    let log = take_zone_log(&mut harness);
    assert!(
        log.iter().any(|l| l.starts_with("zone 0 ejected")),
        "{log:?}"
    );
}

#[test]
fn flapping_zone_returns_more_slowly_each_time() {
    let mut harness = new_harness();
    run(&mut harness, 10_000.0, 60.0, healthy);
    let mut times_to_return = Vec::new();
    for _ in 0..4 {
        run(&mut harness, 1500.0, 60.0, except(0));
        take_zone_log(&mut harness);
        let from = harness.now;
        while !take_zone_log(&mut harness)
            .iter()
            .any(|l| l.starts_with("zone 0 is near"))
        {
            run(&mut harness, 500.0, 60.0, healthy);
            assert!(harness.now - from < 60_000.0, "zone 0 did not return");
        }
        times_to_return.push(harness.now - from);
    }
    assert!(
        times_to_return[3] > 1.5 * times_to_return[0],
        "{times_to_return:?}"
    );
}

/// At five requests per second, few calls are in flight when the zone is lost.
#[test]
fn low_traffic_instance_ejects_a_lost_zone() {
    let mut harness = new_harness();
    run(&mut harness, 20_000.0, 5.0, healthy);
    let (from, ejected_after) = (harness.now, Cell::new(None));
    while ejected_after.get().is_none() {
        run(&mut harness, 200.0, 5.0, except(0));
        ejected_after.set(
            take_zone_log(&mut harness)
                .iter()
                .any(|l| l.starts_with("zone 0 ejected"))
                .then_some(harness.now - from),
        );
        assert!(harness.now - from < 5000.0, "zone 0 was not ejected");
    }
    assert!(ejected_after.get() < Some(3000.0), "{ejected_after:?}");
}

/// A release that drains a zone is announced in the endpoint list, and is not a failure.
#[test]
fn zone_drained_by_a_release_is_not_ejected() {
    let mut harness = new_harness();
    run(&mut harness, 10_000.0, 60.0, healthy);
    let with_availability = |availability| {
        let zone = listed().into_iter().filter(|m| m.zone == 0);
        EndpointUpdate::Delta(zone.map(|m| Endpoint { availability, ..m }).collect())
    };
    harness.update_endpoints(with_availability(Availability::Draining));
    run(&mut harness, 3000.0, 60.0, healthy);
    harness.update_endpoints(with_availability(Availability::Removed));
    run(&mut harness, 3000.0, 60.0, healthy);
    assert_eq!(take_zone_log(&mut harness), Vec::<String>::new());
    assert!(sent(&harness, 14_000.0)[1] > 20);
}

/// While a zone is lost, capacity is that of the other zones.
#[test]
fn capacity_shrinks_when_a_zone_is_lost() {
    let mut harness = new_harness();
    run(&mut harness, 20_000.0, 60.0, healthy);
    let before = harness.balancer.learned(harness.now).load.capacity;
    run(&mut harness, 1000.0, 60.0, except(0));
    let after = harness.balancer.learned(harness.now).load.capacity;
    assert!(after < 0.8 * before, "{after} after {before}");
}
