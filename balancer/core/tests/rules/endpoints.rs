//! The endpoint list: who may be sent to, and when the list is requested again.
use crate::common::*;
use balancer_core::*;

#[test]
fn a_class_goes_only_where_it_is_placed_and_is_refused_when_nothing_there_is_ready() {
    let placed = Class {
        zones: Some(vec![1]),
        kinds: Some(vec![2]),
        ..class(Effect::Free)
    };
    let settings = Settings {
        classes: vec![placed],
        ..Settings::default()
    };
    let far = |id| Endpoint {
        zone: (id % 2) as u16,
        kind: (id % 3) as u8,
        ..endpoint(id)
    };
    // Of sixty, ten are open to the class: drawing among all would miss them often.
    let mut harness = Harness::new(settings, 1, (1..=60).map(far).collect());
    for id in 0..200 {
        assert!(
            matches!(harness.request(id, 0, 0)[..], [.., Action::Send { .. }]),
            "request {id} finds a place"
        );
        harness.outcome(
            id,
            0,
            if id % 9 == 0 {
                Ending::ConnectFailed
            } else {
                Ending::Ok
            },
        );
        if harness.requests[&RequestId(id)].endings.last() == Some(&None) {
            harness.outcome(id, 1, Ending::Ok);
        }
    }
    let elsewhere = |id: &u64| !(id % 2 == 1 && id % 3 == 2);
    harness.update_endpoints(EndpointUpdate::Full(
        (1..=60).filter(elsewhere).map(far).collect(),
    ));
    assert!(
        matches!(harness.request(999, 0, 0)[..], [Action::Refuse { .. }]),
        "never anywhere else"
    );
}

#[test]
fn a_draining_or_removed_upstream_gets_nothing_from_then_on() {
    let mut harness = Harness::new(Settings::default(), 1, (1..4).map(endpoint).collect());
    let changed = |id, availability| Endpoint {
        availability,
        ..endpoint(id)
    };
    harness.update_endpoints(EndpointUpdate::Delta(vec![
        changed(1, Availability::Draining),
        changed(2, Availability::Removed),
    ]));
    for id in 0..50 {
        harness.request(id, 0, 0);
        harness.outcome(id, 0, Ending::Ok);
    }
    assert!(harness
        .requests
        .values()
        .all(|s| s.sends.iter().all(|(to, _)| *to == UpstreamId(3))));
    harness.update_endpoints(EndpointUpdate::Full(Vec::new()));
    assert!(
        matches!(harness.request(99, 0, 0)[..], [Action::Refuse { .. }]),
        "what a full list lacks is gone"
    );
}

#[test]
fn no_ready_upstream_is_a_refusal_at_once() {
    let mut harness = Harness::new(Settings::default(), 1, Vec::new());
    assert!(matches!(
        harness.request(1, 0, 0)[..],
        [Action::Refuse { .. }]
    ));
    harness.update_endpoints(EndpointUpdate::Full(vec![Endpoint {
        availability: Availability::Draining,
        ..endpoint(1)
    }]));
    assert!(matches!(
        harness.request(2, 0, 0)[..],
        [Action::Refuse { .. }]
    ));
}

#[test]
fn a_killed_instance_starts_from_nothing_but_its_cached_list() {
    let settings = Settings {
        subscribes: true,
        ..Settings::default()
    };
    let mut harness = Harness::new(settings.clone(), 5, vec![endpoint(1)]);
    harness.request(1, 0, 0);
    let mut again = Harness::new(settings, 6, vec![endpoint(1)]);
    assert!(
        again.log.contains(&Action::Subscribe),
        "it asks for the list at once"
    );
    let late = Event::Outcome {
        request: RequestId(1),
        attempt: 0,
        ending: Ending::Ok,
        duration: 5.0,
        closed: true,
    };
    assert!(
        again.handle(late).is_empty(),
        "outcomes of a former life are ignored"
    );
    assert!(matches!(again.request(2, 0, 0)[..], [Action::Send { .. }]));
}

#[test]
fn the_list_is_requested_again_with_backoff_well_within_its_timeout() {
    let settings = Settings {
        subscribes: true,
        ..Settings::default()
    };
    let mut harness = Harness::new(settings.clone(), 3, vec![endpoint(1)]);
    let mut backoffs = Vec::new();
    for _ in 0..12 {
        let actions = harness.handle(Event::EndpointUpdate(EndpointUpdate::Failed));
        let backoff = actions.iter().find_map(|a| match a {
            Action::SetTimer { after, token } => Some((*after, *token)),
            _ => None,
        });
        let (after, token) = backoff.expect("a timer to ask again");
        harness.now += after;
        assert_eq!(harness.handle(Event::Timer(token)), [Action::Subscribe]);
        backoffs.push(after);
    }
    assert!(
        backoffs[11] > 4.0 * backoffs[0],
        "the pauses grow: {backoffs:?}"
    );
    assert!(
        backoffs
            .iter()
            .all(|&backoff| backoff < settings.subscribe_timeout / 2.0),
        "never counts as told: {backoffs:?}"
    );
}

/// A change counts as notified 6 s after discovery had it, whatever a deployment says of `subscribe_timeout`: a pause,
/// a call that times out and the next one must fit, 1.5 s for each call.
#[test]
fn the_backoff_before_the_list_is_requested_again_allows_two_calls() {
    for (seed, subscribe_timeout) in
        (0..40).flat_map(|seed| [2_000.0, 10_000.0, 60_000.0].map(|timeout| (seed, timeout)))
    {
        let settings = Settings {
            subscribes: true,
            subscribe_timeout,
            ..Settings::default()
        };
        let mut harness = Harness::new(settings, seed, vec![endpoint(1)]);
        for failures in 1..12 {
            let actions = harness.handle(Event::EndpointUpdate(EndpointUpdate::Failed));
            let pauses = actions.iter().filter_map(|a| match a {
                Action::SetTimer { after, .. } => Some(*after),
                _ => None,
            });
            let pause = pauses.fold(0.0, f64::max);
            assert!(
                pause > 0.0 && pause + 2.0 * 1500.0 <= 5_000.0,
                "{pause} ms after {failures} failures"
            );
        }
    }
}
