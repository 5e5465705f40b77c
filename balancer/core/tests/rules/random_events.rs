//! Random events never break the rules, and equal events give equal actions.
use crate::common::*;
use balancer_core::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn pick<T: Copy>(rng: &mut Pcg64Mcg, from: &[T]) -> T {
    from[rng.next_u32() as usize % from.len()]
}

/// Possible endings of an attempt, with a higher probability of success.
const ENDINGS: [Ending; 10] = [
    Ending::Ok,
    Ending::Ok,
    Ending::Ok,
    Ending::Error,
    Ending::Rejected,
    Ending::ConnectFailed,
    Ending::Reset,
    Ending::Cancelled,
    Ending::NotSent,
    Ending::Unknown,
];

/// Classes with all effects, some with placement constraints.
fn random_event_classes(seed: u64) -> Vec<Class> {
    // If late responses have no value, requests end before the deduplication window: half of the runs give them value.
    let late_value = if seed.is_multiple_of(2) { 0.5 } else { 0.0 };
    let class = |effect| Class {
        late_value,
        ..class(effect)
    };
    let guarded = |scope| Effect::Guarded {
        scope,
        window: 700.0,
    };
    vec![
        class(Effect::Free),
        class(Effect::SingleShot),
        class(guarded(DedupScope::Cell)),
        class(guarded(DedupScope::All)),
        class(guarded(DedupScope::Zone)),
        Class {
            zones: Some(vec![1]),
            ..class(Effect::SingleShot)
        },
        Class {
            kinds: Some(vec![0, 2]),
            ..class(Effect::Free)
        },
        Class {
            zones: Some(vec![0]),
            kinds: Some(vec![1]),
            ..class(guarded(DedupScope::All))
        },
    ]
}

fn random_event_settings(seed: u64, rng: &mut Pcg64Mcg) -> Settings {
    Settings {
        classes: random_event_classes(seed),
        late_shedding: seed % 4 < 2,
        tenants: if seed.is_multiple_of(2) {
            Vec::new()
        } else {
            tenants(&[0.5, 0.3, 0.2], 40.0)
        },
        max_attempts: 1 + rng.next_u32() % 4,
        cancel: !seed.is_multiple_of(5),
        subscribes: seed % 8 < 4,
        balancers: 1 + rng.next_u32() % 9,
        max_retry_after: 500.0,
        cross_zone_price: 0.2,
        ..Settings::default()
    }
}

fn zoned(id: u64) -> Endpoint {
    Endpoint {
        zone: (id % 2) as u16,
        kind: (id % 3) as u8,
        ..endpoint(id)
    }
}

/// An upstream restarts, drains or is removed.
fn change_endpoint(harness: &mut Harness, since: f64, rng: &mut Pcg64Mcg) {
    let id = 1 + u64::from(rng.next_u32() % 12);
    let ready = Availability::Ready;
    let choices = [ready, ready, Availability::Draining, Availability::Removed];
    let availability = pick(rng, &choices);
    let listed = harness.listed.contains_key(&UpstreamId(id));
    if availability != Availability::Removed || listed {
        harness.update_endpoints(EndpointUpdate::Delta(vec![Endpoint {
            availability,
            since,
            ..zoned(id)
        }]));
    }
}

/// One attempt in flight ends, or its client disconnects.
fn end_one_attempt(harness: &mut Harness, rng: &mut Pcg64Mcg) {
    let first_open = |record: &RequestRecord| record.endings.iter().position(Option::is_none);
    let in_flight: Vec<(u32, usize)> = harness
        .requests
        .iter()
        .filter_map(|(id, record)| Some((id.0, first_open(record)?)))
        .collect();
    let choice = rng.next_u32() as usize % in_flight.len().max(1);
    let Some(&(id, attempt)) = in_flight.get(choice) else {
        return;
    };
    if rng.next_u32().is_multiple_of(12) {
        harness.disconnect(id);
    } else {
        harness.outcome(id, attempt, pick(rng, &ENDINGS));
    }
}

fn run_random_events(seed: u64) -> Vec<Action> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let settings = random_event_settings(seed, &mut rng);
    let mut harness = Harness::new(settings, seed, (1..9).map(zoned).collect());
    let mut since = 0.0;
    for id in 0..1500u32 {
        harness.advance(f64::from(rng.next_u32() % 40));
        match rng.next_u32() % 20 {
            0 => {
                since += 1000.0;
                change_endpoint(&mut harness, since, &mut rng);
            }
            1 if id.is_multiple_of(7) => {
                harness.update_endpoints(EndpointUpdate::Full((1..7).map(zoned).collect()));
            }
            2 if harness.settings.subscribes => harness.update_endpoints(EndpointUpdate::Failed),
            _ => {}
        }
        let class = rng.next_u32() as usize % 8;
        let tenant = rng.next_u32() as usize % 5;
        harness.request(id, class, tenant);
        for _ in 0..rng.next_u32() % 4 {
            end_one_attempt(&mut harness, &mut rng);
        }
    }
    harness.advance(10_000.0);
    assert!(
        harness.requests.values().all(|record| record.completed),
        "some request has no final response"
    );
    harness.log
}

#[test]
fn random_events_never_break_the_rules() {
    let mut sends = 0;
    for seed in 0..16 {
        sends += run_random_events(seed)
            .iter()
            .filter(|a| matches!(a, Action::Send { .. }))
            .count();
    }
    assert!(
        sends > 4000,
        "only {sends} attempts sent: too few for the test to be meaningful"
    );
}

#[test]
fn equal_events_give_equal_actions() {
    assert_eq!(run_random_events(17), run_random_events(17));
    assert_ne!(run_random_events(17), run_random_events(18));
}
