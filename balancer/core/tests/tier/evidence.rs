//! Effect of evidence from other instances, and trials of a lost zone.
use crate::common::tier::*;
use crate::common::{endpoint, tenants, Harness};
use crate::set_demand;
use balancer_core::*;
use std::cell::Cell;

/// Updates that an instance receives from the others.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Received {
    Nothing,
    Evidence,
}

/// Calls to an upstream within a second after its first calls had these endings, with or without evidence of others.
fn calls_after(endings: &[Ending], received: Received) -> usize {
    let failing = UpstreamId(1);
    let update = || TierUpdate {
        live_instances: 12,
        connected: true,
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
        if received == Received::Evidence {
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
fn evidence_of_others_halves_the_ejection_threshold() {
    assert!(
        calls_after(&[Ending::Ok], Received::Evidence) > 5,
        "ejected by evidence of others alone"
    );
    assert!(
        calls_after(&[Ending::Error], Received::Nothing) > 5,
        "ejected after one failure without evidence of others"
    );
    assert_eq!(
        calls_after(&[Ending::Error], Received::Evidence),
        0,
        "not ejected after one failure with evidence of others"
    );
    assert!(
        calls_after(&[Ending::Ok, Ending::Error], Received::Evidence) > 5,
        "ejected in spite of a recent response"
    );
}

#[test]
fn trial_rate_is_independent_of_instance_count() {
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
        let (rate, recovered) = trials(instances, |_, update| Some(update), zone);
        assert!(
            rate > 0.1 && rate < 3.0,
            "{instances} instances: {rate:.1} trials per second"
        );
        assert!(
            recovered > 0.5,
            "{instances} instances: {recovered:.2} of the zone's calls after ten seconds"
        );
        let (rate, _) = trials(instances, |_, update| Some(update), one);
        assert!(
            rate < 1.5,
            "{instances} instances: {rate:.1} trials per second of one server"
        );
    }
    let (partitioned, _) = trials(48, |now, update| (now < 15_000.0).then_some(update), zone);
    assert!(
        partitioned > 0.1 && partitioned < 3.0,
        "{partitioned:.1} trials per second by instances that no longer receive updates"
    );
    let (uncoordinated, _) = trials(48, |_, _| None, zone);
    assert!(
        uncoordinated > 8.0,
        "{uncoordinated:.1} trials per second without updates: too few for the test to be meaningful"
    );
    let (uncoordinated, _) = trials(48, |_, _| None, one);
    assert!(
        uncoordinated > 2.0,
        "{uncoordinated:.1} trials per second without updates: too few for the test to be meaningful"
    );
}
