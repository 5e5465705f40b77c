//! Calls that fail, or bring no change for long.
use crate::harness::*;
use crate::watch::Mode;
use std::time::Duration;

/// Whatever the outcome of three earlier calls and of the next one, a change is known within 6 s of the moment from
/// which discovery has it and is reachable.
#[test]
fn change_is_delivered_in_time_after_four_failures() {
    let mut latest = Duration::ZERO;
    let each_behavior = || FAILING_BEHAVIORS.into_iter().chain([Behavior::NoChange]);
    for (mode, known) in MODES
        .into_iter()
        .flat_map(|m| KNOWN_VERSIONS.map(|k| (m, k)))
    {
        for earlier in each_behavior().flat_map(|a| {
            each_behavior().flat_map(move |b| each_behavior().map(move |c| [a, b, c]))
        }) {
            for step in 0..12 {
                let reachable_at = ms(step * 430);
                for next_behavior in [
                    Behavior::Unresponsive,
                    Behavior::NeverConnects,
                    Behavior::PartialResponse,
                    Behavior::Trickles,
                    Behavior::Responds,
                ] {
                    // The first call after discovery is reachable again may still time out.
                    let is_first = std::cell::Cell::new(true);
                    let behavior = move |number: usize, now: Duration| match now < reachable_at {
                        true => earlier[number % 3],
                        false if is_first.replace(false) => next_behavior,
                        false => Behavior::Responds,
                    };
                    let mut harness = Harness::new(mode, known, behavior);
                    harness.run_until(reachable_at + DELIVERY_TIME);
                    let delivered_at = harness.delivered_at.unwrap_or(Duration::MAX);
                    assert!(
                        delivered_at <= reachable_at + DELIVERY_TIME,
                        "{mode:?}, known {known:?}, {earlier:?}, reachable at {reachable_at:?}, then {next_behavior:?}: {delivered_at:?}"
                    );
                    latest = latest.max(delivered_at.saturating_sub(reachable_at));
                    assert!(
                        harness.max_open <= 2,
                        "{} concurrent calls",
                        harness.max_open
                    );
                }
            }
        }
    }
    // Leaves a margin below the bound.
    assert!(latest <= ms(5000), "{latest:?}");
}

#[test]
fn change_is_delivered_in_time_after_three_timeouts() {
    for (mode, known) in MODES
        .into_iter()
        .flat_map(|m| KNOWN_VERSIONS.map(|k| (m, k)))
    {
        for behavior in [
            Behavior::Unresponsive,
            Behavior::NeverConnects,
            Behavior::PartialResponse,
            Behavior::Trickles,
        ] {
            let mut harness = Harness::new(mode, known, move |n, _| {
                if n < 3 {
                    behavior
                } else {
                    Behavior::Responds
                }
            });
            harness.run_until(DELIVERY_TIME);
            let delivered_at = harness.delivered_at.expect("change delivered in time");
            assert!(
                delivered_at <= ms(4800),
                "{mode:?}, known {known:?}, {behavior:?}: {delivered_at:?}"
            );
        }
    }
}

/// The watch ends its pause after a failure by itself: here the module does not subscribe again in time, and two of
/// the next calls time out.
#[test]
fn backoff_ends_even_without_a_new_subscription() {
    for (mode, known) in MODES
        .into_iter()
        .flat_map(|m| KNOWN_VERSIONS.map(|k| (m, k)))
    {
        let mut harness = Harness::new(mode, known, |n, _| match n {
            0 => Behavior::Refuses,
            1 | 2 => Behavior::Unresponsive,
            _ => Behavior::Responds,
        });
        harness.run_until(DELIVERY_TIME);
        let delivered_at = harness.delivered_at.expect("change delivered in time");
        assert!(
            delivered_at <= ms(5500),
            "{mode:?}, known {known:?}: {delivered_at:?}"
        );
        assert_eq!(harness.failures, 1, "a timeout is not a failure");
    }
}

#[test]
fn endless_response_is_abandoned() {
    let mut harness = Harness::new(Mode::Pushed, Some(1), |n, _| {
        if n == 0 {
            Behavior::Trickles
        } else {
            Behavior::NoChange
        }
    });
    harness.run_until(ms(29_900));
    assert_eq!(harness.open.len(), 2, "the response may still arrive");
    harness.run_until(ms(30_500));
    assert_eq!(
        harness.open.len(),
        1,
        "the response is abandoned after 30 s"
    );
}

#[test]
fn outage_does_not_flood_discovery_with_calls() {
    for behavior in FAILING_BEHAVIORS {
        let mut harness = Harness::new(Mode::OnRequest, Some(1), move |_, _| behavior);
        harness.run_until(ms(60_000));
        // No more calls than an idle long-polling watch makes, one a second.
        assert!(
            harness.calls.len() <= 61,
            "{behavior:?}: {} calls in a minute",
            harness.calls.len()
        );
    }
}
