//! Evidence of other instances, and trials of a lost zone.
use crate::common::tier::*;
use crate::common::{endpoint, tenants, Harness};
use crate::set_demand;
use balancer_core::*;
use std::cell::Cell;

/// What an instance hears of the others.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Hears {
    Nothing,
    Evidence,
}

/// Calls to an upstream in the second after its first ones ended so, for an instance that hears of others what it does.
fn calls_after(endings: &[Ending], hears: Hears) -> usize {
    let failing = UpstreamId(1);
    let update = || TierUpdate {
        up: 12,
        joined: true,
        evidence: vec![Evidence {
            subject: Subject::Upstream(failing),
            observers: 5,
            zones: 3,
            cleared: 0,
            age: 100.0,
        }],
        ..TierUpdate::default()
    };
    let settings = Settings {
        tenants: tenants(&[1.0], 100.0),
        ..Settings::default()
    };
    let mut harness = Harness::new(settings, 1, (0..6).map(endpoint).collect());
    let responses = Cell::new(0);
    while responses.get() < endings.len() {
        if hears == Hears::Evidence {
            harness.handle(Event::Tier(Box::new(update())));
        }
        harness.traffic(10.0, 100.0, &[0], &|id| {
            if id != failing {
                return Some((Ending::Ok, 20.0));
            }
            let response = responses.replace(responses.get() + 1);
            let ending = endings.get(response).copied().unwrap_or(Ending::Ok);
            Some((ending, 20.0))
        });
    }
    harness.traffic(50.0, 100.0, &[0], &|_| Some((Ending::Ok, 20.0)));
    let from = harness.now;
    harness.traffic(1000.0, 100.0, &[0], &|_| Some((Ending::Ok, 20.0)));
    let (_, by_upstream) = harness.sent_since(from);
    by_upstream.get(&failing).copied().unwrap_or(0)
}

#[test]
fn evidence_of_others_halves_the_own_evidence_needed_and_does_nothing_alone() {
    assert!(
        calls_after(&[Ending::Ok], Hears::Evidence) > 5,
        "evidence alone took it out"
    );
    assert!(
        calls_after(&[Ending::Error], Hears::Nothing) > 5,
        "one failure took it out without evidence"
    );
    assert_eq!(
        calls_after(&[Ending::Error], Hears::Evidence),
        0,
        "one failure and evidence did not take it out"
    );
    assert!(
        calls_after(&[Ending::Ok, Ending::Error], Hears::Evidence) > 5,
        "a fresh answer did not count for more"
    );
}

#[test]
fn trials_of_a_lost_zone_do_not_grow_with_the_instances_and_it_returns() {
    let lost = |at: f64| (10_000.0..30_000.0).contains(&at);
    let trials = |instances: usize, filter: UpdateFilter, matches: fn(UpstreamId) -> bool| {
        let mut tier = TierSimulation::new(instances, 24, settings(instances), 5);
        tier.filter_update = filter;
        set_demand(&mut tier, 0.2, 0.2);
        tier.slowness = Box::new(move |server, at| {
            if matches(UpstreamId(server as u64)) && lost(at) {
                f64::INFINITY
            } else {
                1.0
            }
        });
        tier.run(45_000.0);
        (
            tier.sent_rate(15_000.0, 30_000.0, matches),
            tier.sent_rate(40_000.0, 45_000.0, matches) / tier.sent_rate(0.0, 10_000.0, matches),
        )
    };
    let zone: fn(UpstreamId) -> bool = |id| zone_of(id) == 1;
    let one: fn(UpstreamId) -> bool = |id| id.0 == 1;
    for instances in [12, 24, 48] {
        let (rate, back) = trials(instances, |_, update| Some(update), zone);
        assert!(
            rate > 0.1 && rate < 3.0,
            "{instances} instances: {rate:.1} trials a second"
        );
        assert!(
            back > 0.5,
            "{instances} instances: {back:.2} of its calls are back after ten seconds"
        );
        let (rate, _) = trials(instances, |_, update| Some(update), one);
        assert!(
            rate < 1.5,
            "{instances} instances: {rate:.1} trials a second of one server"
        );
    }
    let (cut_off, _) = trials(48, |now, update| (now < 15_000.0).then_some(update), zone);
    assert!(
        cut_off > 0.1 && cut_off < 3.0,
        "{cut_off:.1} trials a second by instances that hear nothing any more"
    );
    let (alone, _) = trials(48, |_, _| None, zone);
    assert!(
        alone > 8.0,
        "without updates {alone:.1} a second: the test shows nothing"
    );
    let (alone, _) = trials(48, |_, _| None, one);
    assert!(
        alone > 2.0,
        "without updates {alone:.1} a second: the test shows nothing"
    );
}
