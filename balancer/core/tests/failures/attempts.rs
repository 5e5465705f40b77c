//! The end of a request and its retries.
use crate::common::*;
use crate::setup::{new_harness, shared};
use balancer_core::*;

/// Where a late response earns nothing, an attempt that ran on only took slots, in every tier above too.
#[test]
fn a_request_ends_at_its_objective_where_late_responses_earn_nothing() {
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
            "not given up before {max}"
        );
        harness.advance(100.0);
        assert!(harness.requests[&RequestId(1)].completed, "over by {max}");
    }
}

/// Waiting for the deadline left no time for another attempt, though one was allowed and would have been served.
#[test]
fn where_responses_get_lost_a_retry_goes_out_in_time() {
    let mut harness = new_harness(shared(&[1.0]), 6);
    let server = |id| (id != UpstreamId(2)).then_some((Ending::Ok, 40.0));
    harness.traffic(20_000.0, 30.0, &[0], &server);
    let mut again = harness.requests.values().filter(|s| s.sends.len() > 1);
    // Left to the end of the objective, 490 ms, the retry would come too late.
    assert!(
        again.any(|s| s.sends[1].1 - s.sends[0].1 < 450.0),
        "what was lost is repeated in time"
    );
}

/// A subset drawn without regard to groups had no other upstream that knows the key.
#[test]
fn a_guarded_retry_finds_another_upstream_of_its_group() {
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
        "{elsewhere} of 20 repeats found another of their group"
    );
}

#[test]
fn retries_stay_within_their_budget() {
    let mut harness = new_harness(shared(&[1.0]), 8);
    harness.traffic(20_000.0, 40.0, &[0], &|_| Some((Ending::Error, 5.0)));
    let (requests, to) = harness.sent_since(0.0);
    let attempts: usize = to.values().sum();
    // A fifth of all requests, refused ones too, and the ten saved at the start.
    assert!(
        attempts <= requests + 800 / 5 + 10,
        "{attempts} attempts for {requests} requests"
    );
    assert!(attempts > requests, "some are tried again");
}
