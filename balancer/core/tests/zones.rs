//! Zones that are lost, cut off, slow, flapping or emptied, as one copy sees them.
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
            ..member(id)
        })
        .collect()
}

fn world() -> World {
    World::new(settings(), 4, listed())
}

/// Sends, with answers that take as long as `slow` says for each zone; a zone of which it says nothing is silent.
fn live(w: &mut World, span: f64, per_s: f64, slow: impl Fn(u16) -> Option<f64>) {
    w.traffic(span, per_s, &[0], &|id| {
        slow(zone_of(id)).map(|times| (Ending::Ok, ANSWER * times))
    });
}

/// What is out to a zone gets no answer any more.
fn cut(w: &mut World, zone: u16) {
    let seen = &w.seen;
    w.due
        .retain(|&(_, id, attempt, _)| zone_of(seen[&RequestId(id)].sends[attempt].0) != zone);
}

/// Attempts since `from` by zone.
fn sent(w: &World, from: f64) -> [usize; 3] {
    let mut by = [0; 3];
    w.sent_since(from)
        .1
        .into_iter()
        .for_each(|(id, n)| by[usize::from(zone_of(id))] += n);
    by
}

/// Lines of the log since they were last taken that speak of a zone.
fn said(w: &mut World) -> Vec<String> {
    let log = std::mem::take(&mut w.log);
    let line = |a| match a {
        Action::Log(line) if line.starts_with("zone ") => Some(line),
        _ => None,
    };
    log.into_iter().filter_map(line).collect()
}

fn well(_: u16) -> Option<f64> {
    Some(1.0)
}

fn without(lost: u16) -> impl Fn(u16) -> Option<f64> {
    move |zone| (zone != lost).then_some(1.0)
}

#[test]
fn a_lost_zone_is_left_at_once_its_calls_are_repeated_and_it_comes_back_by_degrees() {
    let mut w = world();
    live(&mut w, 20_000.0, 60.0, well);
    assert_eq!(said(&mut w), Vec::<String>::new());
    let lost = w.now;
    cut(&mut w, 0);
    live(&mut w, 600.0, 60.0, without(0));
    let log = said(&mut w);
    assert!(
        log.iter()
            .any(|l| l.starts_with("zone 0 is left: it owes ")),
        "{log:?}"
    );
    let left = w.now;
    live(&mut w, 4000.0, 60.0, without(0));
    let after = sent(&w, left);
    assert!(
        after[0] * 100 <= after.iter().sum::<usize>() * 2,
        "trials only: {after:?} {log:?} {:?}",
        said(&mut w)
    );
    // What hung in it was sent again elsewhere, and was answered.
    let hung = |s: &&Seen| {
        s.sends
            .first()
            .is_some_and(|(id, at)| zone_of(*id) == 0 && *at > lost - ANSWER)
    };
    let hung: Vec<&Seen> = w.seen.values().filter(hung).collect();
    let served = hung
        .iter()
        .filter(|s| s.ended.last() == Some(&Some(Ending::Ok)))
        .count();
    assert!(
        hung.len() >= 3 && served * 4 >= hung.len() * 3,
        "{served} of {}",
        hung.len()
    );
    let back = w.now;
    let mut shares = Vec::new();
    for _ in 0..16 {
        let from = w.now;
        live(&mut w, 1000.0, 60.0, well);
        shares.push(sent(&w, from)[0]);
    }
    let log = said(&mut w);
    assert!(
        log.iter()
            .any(|l| l == "zone 0 is returning: 0.125 of its draws stand"),
        "{log:?}"
    );
    assert!(
        log.iter()
            .any(|l| l == "zone 0 is near: 1.000 of its draws stand"),
        "{log:?}"
    );
    let whole = sent(&w, back).iter().sum::<usize>() / 16;
    assert!(
        shares[1] * 2 < whole.max(2),
        "not all at once: {shares:?} of {whole}"
    );
    assert!(
        shares[15] * 2 > whole,
        "all in the end: {shares:?} of {whole}"
    );
}

/// A shared dependency: leaving any of them would only crowd the rest.
#[test]
fn where_all_fall_silent_or_get_slow_no_zone_is_left() {
    let mut w = world();
    live(&mut w, 10_000.0, 60.0, well);
    live(&mut w, 5000.0, 60.0, |_| None);
    assert_eq!(said(&mut w), Vec::<String>::new());
    let mut w = world();
    live(&mut w, 10_000.0, 60.0, well);
    for slow in [1.4, 1.8, 2.2, 2.6, 3.0] {
        live(&mut w, 2000.0, 60.0, |_| Some(slow));
    }
    assert_eq!(said(&mut w), Vec::<String>::new());
}

/// The own zone is the one that is cut off from the others, or two of three are lost: it serves from what answers.
#[test]
fn a_copy_whose_zone_is_cut_off_goes_on_with_it_alone() {
    let mut w = world();
    live(&mut w, 20_000.0, 40.0, well);
    live(&mut w, 1500.0, 40.0, |zone| (zone == 0).then_some(1.0));
    let from = w.now;
    live(&mut w, 4000.0, 40.0, |zone| (zone == 0).then_some(1.0));
    let after = sent(&w, from);
    assert!(
        after[0] > 20 && after[1] + after[2] <= after[0] / 10,
        "{after:?}"
    );
}

/// One that answers slowly is not lost: fewer calls go to it, and none are called off.
#[test]
fn a_slow_zone_is_not_left_but_drawn_from_less_when_it_is_the_own_one() {
    let mut w = world();
    live(&mut w, 20_000.0, 40.0, well);
    let near = sent(&w, 10_000.0);
    assert!(
        near[0] * 10 > near.iter().sum::<usize>() * 5,
        "near while it is well: {near:?}"
    );
    let from = w.now;
    live(&mut w, 10_000.0, 40.0, |zone| {
        Some(if zone == 0 { 2.0 } else { 1.0 })
    });
    let slow = sent(&w, from + 5000.0);
    assert!(
        slow[0] * 3 < slow.iter().sum::<usize>(),
        "spilt while it is slow: {slow:?}"
    );
    assert_eq!(said(&mut w), Vec::<String>::new());
    let from = w.now;
    live(&mut w, 20_000.0, 40.0, well);
    let again = sent(&w, from + 15_000.0);
    assert!(
        again[0] * 10 > again.iter().sum::<usize>() * 5,
        "near again: {again:?}"
    );
}

/// Half of a zone fails: the half that answers keeps it, and what fails is ejected one by one.
#[test]
fn a_zone_half_of_which_fails_is_not_left() {
    let mut w = world();
    live(&mut w, 10_000.0, 60.0, well);
    w.traffic(8000.0, 60.0, &[0], &|id| {
        let fails = zone_of(id) == 1 && id.0 % 2 == 0;
        Some(if fails {
            (Ending::ConnectFailed, 1.0)
        } else {
            (Ending::Ok, ANSWER)
        })
    });
    assert_eq!(said(&mut w), Vec::<String>::new());
}

/// Seen on a day of 45 minutes: one upstream that died with many calls out took its zone along.
#[test]
fn one_upstream_that_breaks_all_its_calls_at_once_does_not_take_its_zone_along() {
    let mut w = world();
    live(&mut w, 10_000.0, 200.0, well);
    let of = |w: &World| -> Vec<(u32, usize)> {
        let out = w.seen.iter().filter(|(_, s)| s.ended.last() == Some(&None));
        out.map(|(id, s)| (id.0, s.sends.len() - 1)).collect()
    };
    let mut broken = 0;
    // Whatever is out to four upstreams of the own zone: each time all of one of them.
    for (id, attempt) in of(&w) {
        let to = w.seen[&RequestId(id)].sends[attempt].0;
        if zone_of(to) == 0 && to.0 < 12 {
            w.due.retain(|&(_, due, n, _)| (due, n) != (id, attempt));
            w.outcome(id, attempt, Ending::Reset);
            broken += 1;
        }
    }
    assert!(broken >= 7, "{broken}");
    w.pass(150.0);
    assert_eq!(said(&mut w), Vec::<String>::new());
}

/// A zone that refuses every connection is left as one that is silent is.
#[test]
fn a_zone_that_refuses_every_connection_is_left() {
    let mut w = world();
    live(&mut w, 10_000.0, 60.0, well);
    w.traffic(3000.0, 60.0, &[0], &|id| {
        Some(if zone_of(id) == 0 {
            (Ending::ConnectFailed, 1.0)
        } else {
            (Ending::Ok, ANSWER)
        })
    });
    let log = said(&mut w);
    assert!(
        log.iter().any(|l| l.starts_with("zone 0 is left")),
        "{log:?}"
    );
}

#[test]
fn a_zone_that_flaps_comes_back_more_slowly_each_time() {
    let mut w = world();
    live(&mut w, 10_000.0, 60.0, well);
    let mut took = Vec::new();
    for _ in 0..4 {
        live(&mut w, 1500.0, 60.0, without(0));
        said(&mut w);
        let from = w.now;
        while !said(&mut w).iter().any(|l| l.starts_with("zone 0 is near")) {
            live(&mut w, 500.0, 60.0, well);
            assert!(w.now - from < 60_000.0, "never back");
        }
        took.push(w.now - from);
    }
    assert!(took[3] > 1.5 * took[0], "{took:?}");
}

/// It makes five requests a second, all tiers' calls long done between two of them.
#[test]
fn a_copy_that_sees_little_leaves_a_lost_zone_too() {
    let mut w = world();
    live(&mut w, 20_000.0, 5.0, well);
    let (from, left) = (w.now, Cell::new(None));
    while left.get().is_none() {
        live(&mut w, 200.0, 5.0, without(0));
        left.set(
            said(&mut w)
                .iter()
                .any(|l| l.starts_with("zone 0 is left"))
                .then_some(w.now - from),
        );
        assert!(w.now - from < 5000.0, "not left");
    }
    assert!(left.get() < Some(3000.0), "{left:?}");
}

/// A release that empties a zone is told by the list, and is no failure.
#[test]
fn a_zone_emptied_by_a_release_is_not_left() {
    let mut w = world();
    live(&mut w, 10_000.0, 60.0, well);
    let leaving = |availability| {
        let zone = listed().into_iter().filter(|m| m.zone == 0);
        EndpointUpdate::Delta(zone.map(|m| Endpoint { availability, ..m }).collect())
    };
    w.list(leaving(Availability::Draining));
    live(&mut w, 3000.0, 60.0, well);
    w.list(leaving(Availability::Removed));
    live(&mut w, 3000.0, 60.0, well);
    assert_eq!(said(&mut w), Vec::<String>::new());
    assert!(sent(&w, 14_000.0)[1] > 20);
}

/// While a zone is gone, what is admitted is what the others carry.
#[test]
fn capacity_becomes_what_is_left() {
    let mut w = world();
    live(&mut w, 20_000.0, 60.0, well);
    let before = w.balancer.learned(w.now).load.capacity;
    live(&mut w, 1000.0, 60.0, without(0));
    let after = w.balancer.learned(w.now).load.capacity;
    assert!(after < 0.8 * before, "{after} after {before}");
}
