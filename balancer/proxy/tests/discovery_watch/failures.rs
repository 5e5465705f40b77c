//! Calls that fail, or bring nothing for long.
use crate::watch::Mode;
use crate::world::*;
use std::time::Duration;

/// Whatever three calls met before, and whatever the next one meets: news is known within 6 s of the moment from which
/// discovery has it and can be reached.
#[test]
fn a_change_is_known_in_time_after_any_three_failures_and_one_timeout() {
    let mut latest = Duration::ZERO;
    let each = || BAD.into_iter().chain([Manner::NoChange]);
    for (mode, known) in MODES.into_iter().flat_map(|m| KNOWN.map(|k| (m, k))) {
        for before in each().flat_map(|a| each().flat_map(move |b| each().map(move |c| [a, b, c])))
        {
            for step in 0..12 {
                let reached = ms(step * 430);
                for then in [
                    Manner::Unresponsive,
                    Manner::NeverUp,
                    Manner::Half,
                    Manner::Trickles,
                    Manner::Responds,
                ] {
                    // The first call after discovery can be reached again may still be one that falls silent.
                    let first = std::cell::Cell::new(true);
                    let manner = move |number: usize, now: Duration| match now < reached {
                        true => before[number % 3],
                        false if first.replace(false) => then,
                        false => Manner::Responds,
                    };
                    let mut world = World::new(mode, known, manner);
                    world.play(reached + DELIVERY_TIME);
                    let delivered_at = world.delivered_at.unwrap_or(Duration::MAX);
                    assert!(
                        delivered_at <= reached + DELIVERY_TIME,
                        "{mode:?}, known {known:?}, {before:?}, reached at {reached:?}, then {then:?}: {delivered_at:?}"
                    );
                    latest = latest.max(delivered_at.saturating_sub(reached));
                    assert!(world.max_open <= 2, "{} calls at once", world.max_open);
                }
            }
        }
    }
    // Some room is left under the bound.
    assert!(latest <= ms(5000), "{latest:?}");
}

#[test]
fn three_silences_in_a_row_are_borne() {
    for (mode, known) in MODES.into_iter().flat_map(|m| KNOWN.map(|k| (m, k))) {
        for manner in [
            Manner::Unresponsive,
            Manner::NeverUp,
            Manner::Half,
            Manner::Trickles,
        ] {
            let mut world = World::new(
                mode,
                known,
                move |n, _| if n < 3 { manner } else { Manner::Responds },
            );
            world.play(DELIVERY_TIME);
            let delivered_at = world.delivered_at.expect("known in time");
            assert!(
                delivered_at <= ms(4800),
                "{mode:?}, known {known:?}, {manner:?}: {delivered_at:?}"
            );
        }
    }
}

/// Three silences after a pause of any length that the module may choose.
#[test]
fn the_pause_ends_whether_or_not_the_module_asks() {
    for (mode, known) in MODES.into_iter().flat_map(|m| KNOWN.map(|k| (m, k))) {
        let mut world = World::new(mode, known, |n, _| match n {
            0 => Manner::Refuses,
            1 | 2 => Manner::Unresponsive,
            _ => Manner::Responds,
        });
        world.play(DELIVERY_TIME);
        let delivered_at = world.delivered_at.expect("known in time");
        assert!(
            delivered_at <= ms(5500),
            "{mode:?}, known {known:?}: {delivered_at:?}"
        );
        assert_eq!(world.failures, 1, "a silence is no failure");
    }
}

#[test]
fn an_answer_that_never_ends_is_given_up() {
    let mut world = World::new(Mode::Pushed, Some(1), |n, _| {
        if n == 0 {
            Manner::Trickles
        } else {
            Manner::NoChange
        }
    });
    world.play(ms(29_900));
    assert_eq!(world.open.len(), 2, "it may still come");
    world.play(ms(30_500));
    assert_eq!(world.open.len(), 1, "it came for half a minute");
}

#[test]
fn an_outage_costs_no_flood_of_calls() {
    for manner in BAD {
        let mut world = World::new(Mode::OnRequest, Some(1), move |_, _| manner);
        world.play(ms(60_000));
        // No more than a watch that stands costs, a call a second.
        assert!(
            world.calls.len() <= 61,
            "{manner:?}: {} calls in a minute",
            world.calls.len()
        );
    }
}
