//! Many instances before the same servers: what updates of each other change, and what they must not.
mod common;

use balancer_core::*;
use common::tier::*;
use common::{endpoint, tenants, Harness};
use std::cell::Cell;

/// Sets the demand of two tenants with equal shares, each as a multiple of what the servers can do.
fn set_demand(tier: &mut TierSimulation, first: f64, second: f64) {
    let rate = |multiple: f64| TenantRate {
        per_s: multiple * tier.capacity(),
        first_class: 0.5,
    };
    tier.rates = vec![rate(first), rate(second)];
}

fn calm(instances: usize, seed: u64) -> TierSimulation {
    let mut tier = TierSimulation::new(instances, 12, settings(instances), seed);
    set_demand(&mut tier, 0.4, 0.4);
    tier.run(10_000.0);
    tier
}

fn any(_: &ClientRequest) -> bool {
    true
}

/// The same update with capacity for hardly anything, so much older.
fn with_low_capacity(mut update: TierUpdate, age: f64) -> TierUpdate {
    if let Some(sums) = &mut update.sums {
        sums.load.capacity = 1.0;
        sums.load.tenants[0].demand = 1000.0;
        sums.age += age;
    }
    for evidence in &mut update.evidence {
        evidence.age += age;
    }
    update
}

#[test]
fn updates_that_do_not_count_change_nothing() {
    let play = |filter: UpdateFilter| {
        let mut tier = TierSimulation::new(6, 3, settings(6), 3);
        tier.filter_update = filter;
        tier.slowness = Box::new(|server, at| if server == 1 && at < 9000.0 { 6.0 } else { 1.0 });
        tier.run(5000.0);
        tier.log.clear();
        set_demand(&mut tier, 1.5, 0.5);
        tier.run(8000.0);
        tier.log
    };
    let without = play(|_, _| None);
    assert!(
        without
            .iter()
            .any(|(_, a)| matches!(a, Action::Refuse { .. })),
        "nothing was refused"
    );
    let filters: [(&str, UpdateFilter); 5] = [
        ("of an instance that is cut off", |_, update| {
            Some(TierUpdate {
                joined: false,
                ..update
            })
        }),
        ("that stopped coming", |now, update| {
            (now < 3000.0).then_some(with_low_capacity(update, 0.0))
        }),
        ("that tell of what is too old", |_, update| {
            Some(with_low_capacity(update, 3000.0))
        }),
        ("with a place that is none", |_, update| {
            Some(TierUpdate {
                position: update.up,
                ..update
            })
        }),
        ("with a figure that is none", |_, mut update| {
            update
                .sums
                .iter_mut()
                .for_each(|s| s.load.capacity = f64::NAN);
            Some(update)
        }),
    ];
    for (name, filter) in filters {
        assert!(
            play(filter) == without,
            "updates {name} change what is decided"
        );
    }
    assert!(
        play(|_, update| Some(update)) != without,
        "the updates that count change nothing either"
    );
}

/// The part of all instances that refuses a request with this tie.
fn refusals(tier: &mut TierSimulation, class: usize, tie: u64) -> f64 {
    let started_at = tier.now;
    let before = tier.responses.len();
    (0..tier.instances.len()).for_each(|instance| {
        tier.request_at(
            instance,
            ClientRequest {
                class,
                tenant: 0,
                tie,
                started_at,
                retries: 9,
            },
        )
    });
    let refused = tier.responses[before..]
        .iter()
        .filter(|response| !response.served && response.request.tie == tie)
        .count();
    tier.run(200.0);
    refused as f64 / tier.instances.len() as f64
}

#[test]
fn a_tenant_over_its_limit_is_refused_the_same_requests_by_all_instances() {
    for (seed, instances) in [(1, 12), (2, 24), (3, 96)] {
        let mut tier = calm(instances, seed);
        set_demand(&mut tier, 1.6, 0.4);
        tier.run(15_000.0);
        let (from, to, can) = (tier.now - 12_000.0, tier.now, tier.capacity());
        let all = tier.goodput(from, to, any) / can;
        assert!(
            all > 0.95,
            "{instances} instances: {all:.2} of what the servers can do is answered in time"
        );
        let beside = tier.served_part(from, to, 1);
        assert!(
            beside > 0.97,
            "{instances} instances: the tenant within its share gets {beside:.2}"
        );
        let class = |class| {
            tier.goodput(from, to, |request| {
                (request.tenant, request.class) == (0, class)
            }) / can
        };
        let (cheap, dear) = (class(0), class(1));
        assert!(
            dear > 0.4 && dear > 5.0 * cheap,
            "{instances} instances: {dear:.2} of the dear, {cheap:.2} of the cheap"
        );
        // What is refused by one instance is so by the next.
        let same = (0..20)
            .map(|k| refusals(&mut tier, 0, (2 * k + 1) * (u64::MAX / 40)))
            .sum::<f64>()
            / 20.0;
        assert!(
            same > 0.95,
            "{instances} instances: {same:.2} refuse what goes first"
        );
        let last = (0..20)
            .map(|k| refusals(&mut tier, 1, u64::MAX - k))
            .sum::<f64>()
            / 20.0;
        assert!(
            last < 0.4,
            "{instances} instances: {last:.2} refuse what goes last"
        );
    }
}

#[test]
fn refused_clients_are_advised_to_retry_spread_over_what_they_heed() {
    for max in [0.0, 800.0, 6000.0] {
        let mut tier = TierSimulation::new(
            12,
            6,
            Settings {
                max_retry_after: max,
                ..settings(12)
            },
            1,
        );
        set_demand(&mut tier, 1.5, 1.5);
        tier.run(6000.0);
        let advised: Vec<f64> = tier
            .responses
            .iter()
            .filter(|response| !response.served && response.at > 3000.0)
            .map(|response| response.retry_after)
            .collect();
        assert!(
            advised.len() > 1000 && advised.iter().all(|&after| after <= max),
            "more than {max} ms"
        );
        let bins = (1..=10).map(|k| {
            advised
                .iter()
                .filter(|&&a| a > max * 0.1 * f64::from(k - 1) && a <= max * 0.1 * f64::from(k))
                .count()
        });
        let fullest = bins.max().unwrap_or(0) as f64 / advised.len() as f64;
        assert!(
            fullest < 0.25,
            "of {max} ms one tenth is given to {fullest:.2} of them"
        );
    }
}

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
fn after_the_trigger_goodput_is_back_within_three_seconds() {
    type Trigger = fn(&mut TierSimulation);
    let triggers: [(&str, Trigger); 5] = [
        ("a burst with errors from three in ten calls", |tier| {
            tier.error_rate = Box::new(|_, at| {
                if (10_000.0..20_000.0).contains(&at) {
                    0.3
                } else {
                    0.0
                }
            });
            set_demand(tier, 1.25, 1.25);
            tier.run(10_000.0);
            set_demand(tier, 0.4, 0.4);
        }),
        ("errors from all of them", |tier| {
            tier.error_rate =
                Box::new(|_, at| f64::from(u8::from((10_000.0..15_000.0).contains(&at))));
            tier.run(5000.0);
        }),
        ("a burst of 2.5 times what the servers can do", |tier| {
            set_demand(tier, 1.25, 1.25);
            tier.run(5000.0);
            set_demand(tier, 0.4, 0.4);
        }),
        ("half of the servers slow", |tier| {
            tier.slowness = Box::new(|server, at| {
                if server % 2 == 0 && at < 15_000.0 {
                    5.0
                } else {
                    1.0
                }
            });
            tier.run(5000.0);
        }),
        ("all of them silent", |tier| {
            tier.slowness = Box::new(|_, at| {
                if (10_000.0..13_000.0).contains(&at) {
                    f64::INFINITY
                } else {
                    1.0
                }
            });
            tier.run(3000.0);
        }),
    ];
    for (instances, seed) in [(12, 1), (24, 2), (96, 3)] {
        for (name, trigger) in triggers {
            let mut tier = calm(instances, seed);
            trigger(&mut tier);
            assert_recovers(&mut tier, &format!("{instances} instances, {name}"));
        }
    }
}

/// Checks that retries stay few in an overload that is over now, and that goodput is back soon after.
fn assert_recovers(tier: &mut TierSimulation, name: &str) {
    let over = tier.now;
    // Until sums tell of it, each instance goes on as it did alone; and all together had some saved up.
    let during = || tier.sends.iter().filter(|send| send.at > 12_000.0);
    let all = during().count() as f64;
    let first_attempts = during().filter(|send| send.attempt == 0).count() as f64;
    assert!(
        all < 1.1 * first_attempts + 100.0,
        "{name}: {:.3} attempts a request",
        all / first_attempts
    );
    if (tier.error_rate)(0, tier.now - 1.0) == 1.0 {
        let sends = tier.sends.iter();
        let retries = sends.filter(|send| send.at > over - 1000.0 && send.attempt > 0);
        assert_eq!(
            retries.count(),
            0,
            "{name}: retries at a tier that declines as a whole"
        );
    }
    tier.run(8000.0);
    let goodput = tier.goodput(over + 3000.0, over + 8000.0, any);
    let back = goodput / (0.8 * tier.capacity());
    assert!(back > 0.95, "after {name}: {back:.2}");
}

#[test]
fn instances_that_disagree_are_partitioned_off_or_stop_leave_the_tier_its_goodput() {
    type Fault = fn(&mut TierSimulation, i32);
    let faults: [(&str, f64, Fault); 4] = [
        // They learn, so that it takes telling again each second to keep them four times apart and more.
        ("disagree", 0.9, |tier, _| {
            (0..tier.instances.len()).for_each(|instance| {
                tier.scale_learned_capacity(instance, if instance % 2 == 0 { 1.26 } else { 0.8 })
            });
        }),
        ("are cut off, every third", 0.95, |tier, _| {
            (0..tier.instances.len())
                .for_each(|instance| tier.instances[instance].joined = instance % 3 != 0);
        }),
        ("hear nothing, two of them", 0.95, |tier, _| {
            (5..7).for_each(|instance| tier.instances[instance].joined = false);
        }),
        ("stop, seven in ten", 0.95, |tier, second| {
            if second == 3 {
                tier.kill(|instance| instance % 10 < 7);
            }
        }),
    ];
    for (name, min_served, fault) in faults {
        let mut tier = calm(24, 1);
        set_demand(&mut tier, 1.6, 0.4);
        for second in 0..12 {
            fault(&mut tier, second);
            tier.run(1000.0);
        }
        let (from, to) = (tier.now - 6000.0, tier.now);
        let (all, beside) = (
            tier.goodput(from, to, any) / tier.capacity(),
            tier.served_part(from, to, 1),
        );
        assert!(
            all > 0.95,
            "instances {name}: {all:.2} of what the servers can do"
        );
        assert!(
            beside > min_served,
            "instances {name}: the tenant within its share gets {beside:.2}"
        );
    }
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
