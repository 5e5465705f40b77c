//! Deadlines and retries of requests.
use crate::common::*;
use crate::setup::{new_harness, shared};
use balancer_core::*;

/// If late responses have no value, waiting longer only occupies slots, also in every tier above.
#[test]
fn requests_without_late_value_end_at_objective() {
    for (late_value, max) in [(0.0, 500.0), (0.4, 2000.0)] {
        let class = Class {
            late_value,
            ..class(Effect::SingleShot)
        };
        let mut harness = Harness::new(
            Settings {
                classes: vec![class],
                ..Settings::default()
            },
            4,
            vec![endpoint(1)],
        );
        harness.request(1, 0, 0);
        harness.advance(max - 100.0);
        assert!(
            !harness.requests[&RequestId(1)].completed,
            "given up before {max}"
        );
        harness.advance(100.0);
        assert!(
            harness.requests[&RequestId(1)].completed,
            "not completed by {max}"
        );
    }
}

/// Waiting for a lost response until the deadline leaves no time for a retry that is allowed and would be served.
#[test]
fn lost_responses_are_retried_in_time() {
    let mut harness = new_harness(shared(&[1.0]), 6);
    let server = |id| (id != UpstreamId(2)).then_some((Ending::Ok, 40.0));
    harness.traffic(20_000.0, 30.0, &[0], &server);
    let mut again = harness
        .requests
        .values()
        .filter(|record| record.sends.len() > 1);
    // At the end of the objective, 490 ms, a retry would be too late.
    assert!(
        again.any(|record| record.sends[1].1 - record.sends[0].1 < 450.0),
        "no lost call is retried in time"
    );
}

/// A subset that ignores groups may contain no other upstream that knows the deduplication key.
#[test]
fn guarded_retry_finds_another_group_member() {
    let guarded = Effect::Guarded {
        scope: DedupScope::Cell,
        window: 5000.0,
    };
    let class = Class {
        late_value: 0.5,
        ..class(guarded)
    };
    let settings = Settings {
        classes: vec![class],
        balancers: 10,
        index: 3,
        ..shared(&[1.0])
    };
    let cells = |id| Endpoint {
        group: (id % 10) as u16,
        ..endpoint(id)
    };
    let mut harness = Harness::new(settings, 4, (1..=60).map(cells).collect());
    let mut elsewhere = 0;
    for id in 0..40 {
        harness.request(id, 0, 0);
        harness.outcome(
            id,
            0,
            if id % 2 == 0 {
                Ending::Reset
            } else {
                Ending::Ok
            },
        );
        let sends = harness.requests[&RequestId(id)].sends.clone();
        if let [first, again] = sends[..] {
            elsewhere += u32::from(first.0 != again.0);
            harness.outcome(id, 1, Ending::Ok);
        }
        harness.advance(500.0);
    }
    assert!(
        elsewhere >= 17,
        "{elsewhere} of 20 retries went to another upstream of their group"
    );
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let mut harness = new_harness(shared(&[1.0]), 8);
    harness.traffic(20_000.0, 40.0, &[0], &|_| Some((Ending::Error, 5.0)));
    let (requests, to) = harness.sent_since(0.0);
    let attempts: usize = to.values().sum();
    // A fifth of all requests, including refused ones, and the initial budget of ten.
    assert!(
        attempts <= requests + 800 / 5 + 10,
        "{attempts} attempts for {requests} requests"
    );
    assert!(attempts > requests, "no request was retried");
}
