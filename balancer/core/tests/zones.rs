//! Zones that are lost, partitioned off, slow, flapping or drained, as one instance sees them.
mod common;

use balancer_core::*;
use common::*;
use std::cell::Cell;

const ANSWER: f64 = 250.0;

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

/// Sends, with responses that take as long as `slow` says for each zone; a zone of which it says nothing times out.
fn run(harness: &mut Harness, span: f64, per_s: f64, slow: impl Fn(u16) -> Option<f64>) {
    harness.traffic(span, per_s, &[0], &|id| {
        slow(zone_of(id)).map(|times| (Ending::Ok, ANSWER * times))
    });
}

/// What is out to a zone gets no response any more.
fn drop_in_flight(harness: &mut Harness, zone: u16) {
    let requests = &harness.requests;
    harness.scheduled.retain(|response| {
        let sends = &requests[&RequestId(response.request)].sends;
        zone_of(sends[response.attempt].0) != zone
    });
}

/// Attempts since `from` by zone.
fn sent(harness: &Harness, from: f64) -> [usize; 3] {
    let mut by = [0; 3];
    harness
        .sent_since(from)
        .1
        .into_iter()
        .for_each(|(id, n)| by[usize::from(zone_of(id))] += n);
    by
}

/// Lines of the log since they were last taken that speak of a zone.
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
fn a_lost_zone_is_ejected_at_once_its_calls_are_retried_and_it_returns_by_degrees() {
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
        "trials only: {after:?} {log:?} {:?}",
        take_zone_log(&mut harness)
    );
    assert_hung_calls_were_retried(&harness, lost_at);
    assert_returns_by_degrees(&mut harness);
}

/// What hung in zone 0 when it was lost was retried elsewhere, and was served.
fn assert_hung_calls_were_retried(harness: &Harness, lost_at: f64) {
    let hung = |record: &&RequestRecord| {
        let first = record.sends.first();
        first.is_some_and(|(id, at)| zone_of(*id) == 0 && *at > lost_at - ANSWER)
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

/// Zone 0 is well again: its part of the calls returns, and not all at once.
fn assert_returns_by_degrees(harness: &mut Harness) {
    let well_from = harness.now;
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
    assert!(
        has("zone 0 is in service: accepts 1.000 of its draws"),
        "{log:?}"
    );
    let all = sent(harness, well_from).iter().sum::<usize>() / 16;
    assert!(
        local[1] * 2 < all.max(2),
        "not all at once: {local:?} of {all}"
    );
    assert!(local[15] * 2 > all, "all in the end: {local:?} of {all}");
}

/// A shared dependency: ejecting any of them would only overload the rest.
#[test]
fn where_all_time_out_or_get_slow_no_zone_is_ejected() {
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

/// The local zone is the one that is partitioned off from the others, or two of three are lost: it uses what responds.
#[test]
fn an_instance_whose_zone_is_partitioned_off_goes_on_with_it_alone() {
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

/// One that responds slowly is not lost: fewer calls go to it, and none are cancelled.
#[test]
fn a_slow_local_zone_is_not_ejected_but_drawn_from_less() {
    let mut harness = new_harness();
    run(&mut harness, 20_000.0, 40.0, healthy);
    let local = sent(&harness, 10_000.0);
    assert!(
        local[0] * 10 > local.iter().sum::<usize>() * 5,
        "near while it is well: {local:?}"
    );
    let from = harness.now;
    run(&mut harness, 10_000.0, 40.0, |zone| {
        Some(if zone == 0 { 2.0 } else { 1.0 })
    });
    let slow = sent(&harness, from + 5000.0);
    assert!(
        slow[0] * 3 < slow.iter().sum::<usize>(),
        "spilt while it is slow: {slow:?}"
    );
    assert_eq!(take_zone_log(&mut harness), Vec::<String>::new());
    let from = harness.now;
    run(&mut harness, 20_000.0, 40.0, healthy);
    let recovered = sent(&harness, from + 15_000.0);
    assert!(
        recovered[0] * 10 > recovered.iter().sum::<usize>() * 5,
        "near again: {recovered:?}"
    );
}

/// Half of a zone fails: the half that responds keeps it, and what fails is ejected one by one.
#[test]
fn a_zone_half_of_which_fails_is_not_ejected() {
    let mut harness = new_harness();
    run(&mut harness, 10_000.0, 60.0, healthy);
    harness.traffic(8000.0, 60.0, &[0], &|id| {
        let fails = zone_of(id) == 1 && id.0 % 2 == 0;
        Some(if fails {
            (Ending::ConnectFailed, 1.0)
        } else {
            (Ending::Ok, ANSWER)
        })
    });
    assert_eq!(take_zone_log(&mut harness), Vec::<String>::new());
}

/// RequestRecord on a day of 45 minutes: one upstream that died with many calls out took its zone along.
#[test]
fn one_upstream_that_breaks_all_its_calls_at_once_does_not_take_its_zone_along() {
    let mut harness = new_harness();
    run(&mut harness, 10_000.0, 200.0, healthy);
    let of = |harness: &Harness| -> Vec<(u32, usize)> {
        let out = harness
            .requests
            .iter()
            .filter(|(_, s)| s.endings.last() == Some(&None));
        out.map(|(id, s)| (id.0, s.sends.len() - 1)).collect()
    };
    let mut broken = 0;
    // Whatever is out to four upstreams of the local zone: each time all of one of them.
    for (id, attempt) in of(&harness) {
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

/// A zone that refuses every connection is ejected as one that times out is.
#[test]
fn a_zone_that_refuses_every_connection_is_ejected() {
    let mut harness = new_harness();
    run(&mut harness, 10_000.0, 60.0, healthy);
    harness.traffic(3000.0, 60.0, &[0], &|id| {
        Some(if zone_of(id) == 0 {
            (Ending::ConnectFailed, 1.0)
        } else {
            (Ending::Ok, ANSWER)
        })
    });
    let log = take_zone_log(&mut harness);
    assert!(
        log.iter().any(|l| l.starts_with("zone 0 ejected")),
        "{log:?}"
    );
}

#[test]
fn a_zone_that_flaps_returns_more_slowly_each_time() {
    let mut harness = new_harness();
    run(&mut harness, 10_000.0, 60.0, healthy);
    let mut times_to_return = Vec::new();
    for _ in 0..4 {
        run(&mut harness, 1500.0, 60.0, except(0));
        take_zone_log(&mut harness);
        let from = harness.now;
        while !take_zone_log(&mut harness)
            .iter()
            .any(|l| l.starts_with("zone 0 is in service"))
        {
            run(&mut harness, 500.0, 60.0, healthy);
            assert!(harness.now - from < 60_000.0, "never back");
        }
        times_to_return.push(harness.now - from);
    }
    assert!(
        times_to_return[3] > 1.5 * times_to_return[0],
        "{times_to_return:?}"
    );
}

/// It makes five requests a second, all tiers' calls long done between two of them.
#[test]
fn an_instance_with_little_traffic_ejects_a_lost_zone_too() {
    let mut harness = new_harness();
    run(&mut harness, 20_000.0, 5.0, healthy);
    let (from, left) = (harness.now, Cell::new(None));
    while left.get().is_none() {
        run(&mut harness, 200.0, 5.0, except(0));
        left.set(
            take_zone_log(&mut harness)
                .iter()
                .any(|l| l.starts_with("zone 0 ejected"))
                .then_some(harness.now - from),
        );
        assert!(harness.now - from < 5000.0, "not left");
    }
    assert!(left.get() < Some(3000.0), "{left:?}");
}

/// A release that empties a zone is announced by the list, and is no failure.
#[test]
fn a_zone_drained_by_a_release_is_not_ejected() {
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

/// While a zone is gone, what is admitted is what the others carry.
#[test]
fn capacity_becomes_that_of_the_other_zones() {
    let mut harness = new_harness();
    run(&mut harness, 20_000.0, 60.0, healthy);
    let before = harness.balancer.learned(harness.now).load.capacity;
    run(&mut harness, 1000.0, 60.0, except(0));
    let after = harness.balancer.learned(harness.now).load.capacity;
    assert!(after < 0.8 * before, "{after} after {before}");
}
