//! Retries of a request, depending on the effect of its class.
use crate::common::*;
use crate::one_class;
use balancer_core::*;

/// Ends an attempt of a request and checks that exactly one action of the given kind follows.
macro_rules! assert_outcome {
    ($harness:expr, $request:expr, $attempt:expr, $ending:ident => $action:ident, $why:expr) => {
        assert!(
            matches!(
                $harness.outcome($request, $attempt, Ending::$ending)[..],
                [Action::$action { .. }]
            ),
            "{}",
            $why
        )
    };
}

#[test]
fn single_shot_is_retried_only_if_never_run() {
    let mut harness = Harness::new(
        one_class(Effect::SingleShot),
        1,
        (1..5).map(endpoint).collect(),
    );
    harness.request(1, 0, 0);
    assert_outcome!(harness, 1, 0, Rejected => Send, "first attempt never ran");
    assert_outcome!(harness, 1, 1, Rejected => Send, "second attempt never ran");
    assert_outcome!(harness, 1, 2, Rejected => Refuse, "no attempts left");
    harness.request(2, 0, 0);
    assert_outcome!(harness, 2, 0, Reset => Fail, "it may have run");
}

#[test]
fn late_shedding_rejections_count_as_possible_runs() {
    let settings = Settings {
        late_shedding: true,
        ..one_class(Effect::SingleShot)
    };
    let mut harness = Harness::new(settings, 1, (1..5).map(endpoint).collect());
    harness.request(1, 0, 0);
    assert_outcome!(harness, 1, 0, Rejected => Fail, "it may have run");
    harness.request(2, 0, 0);
    assert_outcome!(harness, 2, 0, ConnectFailed => Send, "it never ran");

    let guarded = Effect::Guarded {
        scope: DedupScope::Cell,
        window: 700.0,
    };
    let settings = Settings {
        late_shedding: true,
        ..one_class(guarded)
    };
    let groups = |id| Endpoint {
        group: (id % 2) as u16,
        ..endpoint(id)
    };
    let mut harness = Harness::new(settings, 1, (1..9).map(groups).collect());
    for id in 0..40 {
        harness.request(id, 0, 0);
        harness.advance(50.0);
        // The harness checks group and window relative to the rejected attempt.
        harness.outcome(id, 0, Ending::Rejected);
        if harness.requests[&RequestId(id)].endings.len() == 2 {
            harness.outcome(id, 1, Ending::Ok);
        }
    }
}

#[test]
fn guarded_retries_stay_within_group_and_window() {
    let guarded = Effect::Guarded {
        scope: DedupScope::Cell,
        window: 700.0,
    };
    let endpoints = |group| {
        (1..5)
            .map(|id| Endpoint {
                group,
                ..endpoint(id)
            })
            .collect::<Vec<_>>()
    };
    let mut harness = Harness::new(one_class(guarded), 1, endpoints(4));
    harness.request(1, 0, 0);
    harness.advance(600.0);
    assert_outcome!(harness, 1, 0, Error => Send, "within the deduplication window");
    harness.request(2, 0, 0);
    harness.advance(701.0);
    assert_outcome!(harness, 2, 0, Error => Fail, "after the deduplication window");
    let other_groups = (1..5)
        .map(|id| Endpoint {
            group: id as u16,
            ..endpoint(id)
        })
        .collect();
    let mut harness = Harness::new(one_class(guarded), 1, other_groups);
    harness.request(1, 0, 0);
    let actions = harness.outcome(1, 0, Ending::Error);
    let to = |a: &Action| matches!(a, Action::Send { upstream, .. } if *upstream == harness.requests[&RequestId(1)].sends[0].0);
    assert!(
        actions
            .iter()
            .all(|a| matches!(a, Action::Fail { .. }) || to(a)),
        "retried in another group: {actions:?}"
    );
}
