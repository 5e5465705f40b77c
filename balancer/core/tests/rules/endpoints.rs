//! Endpoint list: eligible upstreams, and the backoff before the list is requested again.
use crate::common::*;
use balancer_core::*;

#[test]
fn requests_respect_placement_or_are_refused() {
    let placed = Class {
        zones: Some(vec![1]),
        kinds: Some(vec![2]),
        ..class(Effect::Free)
    };
    let settings = Settings {
        classes: vec![placed],
        ..Settings::default()
    };
    let placed_endpoint = |id| Endpoint {
        zone: (id % 2) as u16,
        kind: (id % 3) as u8,
        ..endpoint(id)
    };
    // Only ten of sixty upstreams are allowed for the class; draws among all would often miss them.
    let mut harness = Harness::new(settings, 1, (1..=60).map(placed_endpoint).collect());
    for id in 0..200 {
        assert!(
            matches!(harness.request(id, 0, 0)[..], [.., Action::Send { .. }]),
            "request {id} was not sent"
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
        (1..=60).filter(elsewhere).map(placed_endpoint).collect(),
    ));
    assert!(
        matches!(harness.request(999, 0, 0)[..], [Action::Refuse { .. }]),
        "sent in violation of the placement"
    );
}

#[test]
fn draining_and_removed_upstreams_get_no_calls() {
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
        .all(|record| record.sends.iter().all(|(to, _)| *to == UpstreamId(3))));
    harness.update_endpoints(EndpointUpdate::Full(Vec::new()));
    assert!(
        matches!(harness.request(99, 0, 0)[..], [Action::Refuse { .. }]),
        "an upstream missing from the full list was used"
    );
}

#[test]
fn requests_without_ready_upstream_are_refused_immediately() {
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
fn restarted_instance_has_only_its_cached_list() {
    let settings = Settings {
        subscribes: true,
        ..Settings::default()
    };
    let mut harness = Harness::new(settings.clone(), 5, vec![endpoint(1)]);
    harness.request(1, 0, 0);
    let mut restarted = Harness::new(settings, 6, vec![endpoint(1)]);
    assert!(
        restarted.log.contains(&Action::Subscribe),
        "a new instance must subscribe immediately"
    );
    let late = Event::Outcome {
        request: RequestId(1),
        attempt: 0,
        ending: Ending::Ok,
        duration: 5.0,
        closed: true,
    };
    assert!(
        restarted.handle(late).is_empty(),
        "outcomes for an earlier process must be ignored"
    );
    assert!(matches!(
        restarted.request(2, 0, 0)[..],
        [Action::Send { .. }]
    ));
}

#[test]
fn subscribe_backoff_grows_within_the_timeout() {
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
        let (after, token) = backoff.expect("a timer for the next subscription");
        harness.now += after;
        assert_eq!(harness.handle(Event::Timer(token)), [Action::Subscribe]);
        backoffs.push(after);
    }
    assert!(
        backoffs[11] > 4.0 * backoffs[0],
        "the backoff does not grow: {backoffs:?}"
    );
    assert!(
        backoffs
            .iter()
            .all(|&backoff| backoff < settings.subscribe_timeout / 2.0),
        "the backoff exceeds half of the subscribe timeout: {backoffs:?}"
    );
}

/// Instances are treated as notified 6 s after a change, whatever the configured `subscribe_timeout`. This leaves time
/// for a backoff, a call that times out and a second call, with 1.5 s for each call.
#[test]
fn subscribe_backoff_allows_two_calls() {
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
