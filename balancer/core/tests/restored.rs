//! Restoring the learned state of an earlier instance.
mod common;

use balancer_core::*;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn settings() -> Settings {
    Settings {
        classes: vec![class(Effect::Free)],
        tenants: tenants(&[0.6, 0.4], 60.0),
        ..Settings::default()
    }
}

/// A harness that has run for a while above its quotas, with a slow upstream and a failing one that was just ejected.
fn harness_with_learned_state() -> Harness {
    let mut harness = Harness::new(settings(), 4, (1..=8).map(endpoint).collect());
    let mut run = |span| {
        harness.traffic(span, 120.0, &[0, 0, 0, 1], &|id| match id.0 {
            1 => Some((Ending::ConnectFailed, 1.0)),
            2 => Some((Ending::Ok, 190.0)),
            _ => Some((Ending::Ok, 50.0)),
        });
        let saved = harness.balancer.learned(harness.now);
        ejection_left(&saved) > 3000.0
    };
    run(20_000.0);
    while !run(100.0) {}
    harness
}

/// Remaining ejection time of the failing upstream.
fn ejection_left(saved: &Learned) -> f64 {
    let ejected = saved.upstreams.iter().find(|(id, ..)| *id == UpstreamId(1));
    ejected.map_or(0.0, |(.., health)| health.ejected_until - saved.saved_at)
}

/// A newly started instance with the given endpoints and learned state.
fn restarted(learned: &Learned, age: f64, upstreams: Vec<Endpoint>) -> Harness {
    let mut harness = Harness::new(settings(), 5, upstreams);
    harness.handle(Event::Restored {
        learned: Box::new(learned.clone()),
        age,
    });
    harness
}

fn endpoints() -> Vec<Endpoint> {
    (1..=8).map(endpoint).collect()
}

#[test]
fn restored_state_is_complete_and_decays_with_age() {
    let mut harness = harness_with_learned_state();
    let saved = harness.balancer.learned(harness.now);
    assert_eq!(saved.validate(&settings()), Ok(()));
    assert!(
        saved.load.capacity > 100.0 && saved.demands[0] > Some(80.0),
        "{saved:?}"
    );
    assert!(ejection_left(&saved) > 0.0, "{saved:?}");
    let mut later = restarted(&saved, 0.0, endpoints());
    let restored = later.balancer.learned(0.0);
    let is_close = |a: f64, b: f64| (a - b).abs() <= 0.03 * a.abs().max(b.abs()) + 1e-6;
    assert!(
        is_close(restored.load.capacity, saved.load.capacity),
        "{} is {}",
        restored.load.capacity,
        saved.load.capacity
    );
    assert!(
        is_close(restored.mean_response_time, saved.mean_response_time)
            && is_close(
                restored.load.unloaded_response_time,
                saved.load.unloaded_response_time
            )
    );
    assert_eq!(
        (restored.demands, &restored.kinds),
        (saved.demands.clone(), &saved.kinds)
    );
    let fresh = Harness::new(settings(), 5, endpoints())
        .balancer
        .learned(0.0);
    let mut last = saved.load.capacity;
    for age in [1.0, 5.0, 10.0, 20.0, 40.0, 80.0, 160.0, 1e6, 1e12] {
        let now = restarted(&saved, age * 1000.0, endpoints())
            .balancer
            .learned(0.0);
        let (low, high) = (fresh.load.capacity.min(last) - 1e-6, last + 1e-6);
        assert!(
            (low..=high).contains(&now.load.capacity),
            "{} at {age} s after {last}",
            now.load.capacity
        );
        last = now.load.capacity;
    }
    assert!(
        is_close(last, fresh.load.capacity),
        "{last} finally, a new instance has {}",
        fresh.load.capacity
    );
}

#[test]
fn restored_ejections_expire_or_end_on_restart() {
    let mut harness = harness_with_learned_state();
    let saved = harness.balancer.learned(harness.now);
    let ejection_left = ejection_left(&saved);
    let calls_to_it = |harness: &mut Harness| {
        harness.traffic(ejection_left * 0.8, 100.0, &[0], &|_| {
            Some((Ending::Ok, 50.0))
        });
        harness
            .sent_since(0.0)
            .1
            .get(&UpstreamId(1))
            .copied()
            .unwrap_or(0)
    };
    assert_eq!(calls_to_it(&mut restarted(&saved, 0.0, endpoints())), 0);
    // The ejection has expired in the meantime.
    assert!(calls_to_it(&mut restarted(&saved, ejection_left, endpoints())) > 0);
    let mut since = endpoints();
    since[0].since = 1.0;
    assert!(calls_to_it(&mut restarted(&saved, 0.0, since)) > 0);
}

#[test]
fn restore_waits_for_endpoints_and_scales_capacity() {
    let mut harness = harness_with_learned_state();
    let saved = harness.balancer.learned(harness.now);
    let mut late = restarted(&saved, 0.0, Vec::new());
    let before = late.balancer.learned(0.0).load.capacity;
    assert_eq!(
        before,
        Harness::new(settings(), 5, Vec::new())
            .balancer
            .learned(0.0)
            .load
            .capacity
    );
    late.advance(400.0);
    late.update_endpoints(EndpointUpdate::Full(endpoints()[..4].to_vec()));
    let capacity = late.balancer.learned(late.now).load.capacity;
    // Seven of eight upstreams were usable then, three of four are now.
    let part = capacity / saved.load.capacity;
    assert!(
        (0.4..0.5).contains(&part),
        "{capacity} of {}",
        saved.load.capacity
    );
    // An upstream of the saved state that is draining now gets no calls; the harness checks this.
    let mut draining = endpoints();
    draining[3].availability = Availability::Draining;
    restarted(&saved, 0.0, draining).traffic(3000.0, 60.0, &[0], &|_| Some((Ending::Ok, 50.0)));
}

/// State learned by one of sixty instances while thirty upstreams carried 2,400 calls per second.
fn learned_with_thirty_upstreams() -> Learned {
    Learned {
        load: Load {
            capacity: 80.0,
            admitted_mean: 40.0,
            admitted_peak: 50.0,
            served_rate: 2400.0,
            on_time_fraction: 1.0,
            floor_fraction: 1.0,
            unloaded_response_time: 50.0,
        },
        upstreams_max: 30.0,
        upstreams_usable: 1.0,
        mean_response_time: 50.0,
        deviation: 10.0,
        demands: vec![Some(40.0), None],
        ..Learned::default()
    }
}

/// All instances restart at the same time with capacity learned from thirty upstreams, and find four in slow start.
#[test]
fn simultaneous_restores_respect_slow_start_budgets() {
    const INSTANCES: u32 = 60;
    const STARTED_AT: f64 = 100_000.0;
    let settings = |index| Settings {
        index,
        balancers: INSTANCES,
        tenants: tenants(&[1.0], 2400.0),
        slow_start_from: 0.15,
        slow_start_time: 20_000.0,
        overload_multiple: 2.5,
        ..Settings::default()
    };
    let started = |id| Endpoint {
        since: STARTED_AT,
        ..endpoint(id)
    };
    let start = |index| {
        let mut harness = Harness::new(settings(index), u64::from(index), Vec::new());
        harness.advance(STARTED_AT);
        harness.handle(Event::Restored {
            learned: Box::new(learned_with_thirty_upstreams()),
            age: 500.0,
        });
        harness.update_endpoints(EndpointUpdate::Full((1..=4).map(started).collect()));
        harness
    };
    let mut harnesses: Vec<Harness> = (0..INSTANCES).map(start).collect();
    let mut calls = vec![[0u32; 4]; 4];
    let mut id = 0;
    for _ in 0..160 {
        for harness in &mut harnesses {
            id += 1;
            harness.request(id, 0, 0);
            if let Some(&(to, at)) = harness.requests[&RequestId(id)].sends.last() {
                let second = ((at - STARTED_AT) / 1000.0) as usize;
                calls[second.min(3)][to.0 as usize - 1] += 1;
                harness.outcome(id, 0, Ending::Ok);
            }
            harness.advance(25.0);
        }
    }
    // Thirty upstreams carried 2,400 calls per second, 80 each.
    for (second, calls) in calls.iter().enumerate() {
        let weight = 0.15 + 0.85 * second as f64 / 20.0;
        for &n in calls {
            assert!(
                f64::from(n) <= 2.5 * 80.0 * weight,
                "{calls:?} in second {second}"
            );
        }
    }
    assert!(
        calls.iter().all(|c| c.iter().sum::<u32>() > 0),
        "some upstreams got no calls in slow start: {calls:?}"
    );
}

/// Maximum remaining ejection time in milliseconds.
const MAX_EJECTION_MS: f64 = 20_000.0;
/// Maximum valid count in saved state.
const MAX_COUNT: u32 = 1_000_000_000;

/// Saved state of an upstream with the given counts that fails and is not ejected.
fn learned_with_counts(outcomes: u32, ejections: u32) -> Learned {
    let health = Health {
        slowness: 1.0,
        failure_rate: 1.0,
        outcomes,
        ejections,
        ..Health::default()
    };
    Learned {
        upstreams: vec![(UpstreamId(1), 0.0, health)],
        demands: vec![Some(40.0), None, None],
        ..learned_with_thirty_upstreams()
    }
}

#[test]
fn counts_saturate_and_larger_ones_are_rejected() {
    for (outcomes, ejections, is_valid) in [
        (u32::MAX, 0, false),
        (0, u32::MAX, false),
        (0, 0, true),
        (MAX_COUNT, MAX_COUNT, true),
        (MAX_COUNT + 1, 0, false),
        (0, MAX_COUNT + 1, false),
    ] {
        let saved = learned_with_counts(outcomes, ejections);
        let case = format!("{outcomes} outcomes, {ejections} ejections");
        let mut harness = restarted(&saved, 0.0, endpoints());
        harness.traffic(3000.0, 80.0, &[0, 1], &|id| match id.0 {
            1 => Some((Ending::ConnectFailed, 1.0)),
            _ => Some((Ending::Ok, 50.0)),
        });
        let later = harness.balancer.learned(harness.now);
        assert_eq!(later.validate(&settings()), Ok(()), "{case}");
        let ejected = |(id, _, health): &(UpstreamId, f64, Health)| {
            *id == UpstreamId(1) && health.ejections > 0 && health.outcomes > 0
        };
        assert!(later.upstreams.iter().any(ejected), "{case}: {later:?}");
        assert_eq!(saved.validate(&settings()).is_ok(), is_valid, "{case}");
    }
}

/// Any number that a file could contain.
fn any_number() -> impl Strategy<Value = f64> {
    prop_oneof![
        4 => 0.0..200.0f64,
        1 => 0.0..1.0f64,
        1 => prop::num::f64::ANY,
        1 => Just(0.0),
        1 => Just(1e15),
    ]
}

/// Any count that a file could contain, often a very large one.
fn any_count() -> impl Strategy<Value = u32> {
    prop_oneof![
        2 => any::<u32>(),
        1 => 0..10u32,
        1 => (u32::MAX - 2)..=u32::MAX,
        1 => MAX_COUNT - 2..=MAX_COUNT + 1,
    ]
}

fn part() -> impl Strategy<Value = f64> {
    prop_oneof![9 => 0.0..=1.0f64, 1 => prop::num::f64::ANY]
}

prop_compose! {
    fn learned()(
        rates in prop::collection::vec(any_number(), 5),
        parts in prop::collection::vec(part(), 3),
        times in prop::collection::vec(any_number(), 4),
        demands in prop::collection::vec(prop::option::of(any_number()), 2..=4),
        kinds in prop::collection::vec((any::<u8>(), 0.0..4.5f64, any_number()), 0..3),
        idle_loss_rates in prop::collection::vec(part(), 0..12),
        upstreams in prop::collection::vec((0u64..12, prop::collection::vec(any_number(), 4), part(), any_count(), any_count()), 0..6),
    ) -> Learned {
        Learned {
            saved_at: times[3],
            load: Load {
                capacity: rates[0], admitted_mean: rates[1], admitted_peak: rates[2], served_rate: rates[3],
                on_time_fraction: parts[0], floor_fraction: parts[1], unloaded_response_time: times[2],
            },
            upstreams_max: rates[4], upstreams_usable: parts[2],
            mean_response_time: times[0], deviation: times[1],
            demands,
            kinds: kinds.into_iter().map(|(kind, relative, samples)| (kind, (relative, samples))).collect(),
            idle_loss_rates,
            upstreams: upstreams.into_iter().map(|(id, f, failure_rate, ejections, outcomes)| {
                let (slowness, last_used, ejected_until, lost_until) = (f[0], f[1], f[2], f[3]);
                let health = Health { slowness, failure_rate, last_used, ejected_until, lost_until, ejections, outcomes };
                (UpstreamId(id), 0.0, health)
            }).collect(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    /// Any saved state is either restored, with a working balancer, or ignored as a whole.
    #[test]
    fn any_state_is_restored_or_ignored_completely(saved in learned(), age in any_number()) {
        let fresh = Harness::new(settings(), 5, endpoints()).balancer.learned(0.0);
        let mut harness = restarted(&saved, age, endpoints());
        let now = harness.balancer.learned(0.0);
        prop_assert_eq!(now.validate(&settings()), Ok(()));
        if saved.validate(&settings()).is_err() {
            prop_assert_eq!(now, fresh);
        }
        // Some upstreams fail, so that restored ejection and outcome counts are incremented.
        harness.traffic(1500.0, 40.0, &[0, 1], &|id| match id.0 % 4 {
            0 => Some((Ending::ConnectFailed, 1.0)),
            1 => Some((Ending::Error, 20.0)),
            _ => Some((Ending::Ok, 50.0)),
        });
        let later = harness.balancer.learned(harness.now);
        prop_assert_eq!(later.validate(&settings()), Ok(()));
        let is_sane = |health: &Health| health.ejected_until <= harness.now + MAX_EJECTION_MS;
        prop_assert!(later.upstreams.iter().all(|(.., health)| is_sane(health)), "{:?}", later);
    }
}
