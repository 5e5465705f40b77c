//! Lists that come, addresses that change, and who asks for them.
use crate::watch::{Action, Event, ListUpdate, Mode, Watch, LONG_POLL_TIMEOUT};
use crate::world::*;
use std::time::{Duration, Instant};

/// The same after SIGHUP.
const DELIVERY_TIME_AFTER_MOVE: Duration = Duration::from_secs(4);

#[test]
fn a_list_that_takes_long_but_keeps_coming_is_taken() {
    for (mode, known) in MODES.into_iter().flat_map(|m| KNOWN.map(|k| (m, k))) {
        let mut world = World::new(mode, known, |_, _| Manner::Slow);
        world.play(ms(30_000));
        assert_eq!(
            world.delivered_at,
            Some(ms(4000)),
            "{mode:?}, known {known:?}"
        );
        assert!(world.calls.len() <= 4, "{} calls", world.calls.len());
    }
}

/// A discovery that does not wait with its answers is not asked as often as it answers; what is new is taken at once.
#[test]
fn unchanged_responses_that_come_at_once_cost_no_flood_of_calls() {
    for (mode, known) in MODES.into_iter().flat_map(|m| KNOWN.map(|k| (m, k))) {
        let mut world = World::new(mode, known, |n, _| {
            if n < 30 {
                Manner::NoChangeAtOnce
            } else {
                Manner::Responds
            }
        });
        world.play(DELIVERY_TIME);
        let delivered_at = world.delivered_at.expect("known in time");
        assert!(
            delivered_at >= ms(2800),
            "{mode:?}, known {known:?}: 30 calls in {delivered_at:?}"
        );
        // All 30 were answered 2 ms after they began.
        let gaps: Vec<_> = world.calls[..=30]
            .windows(2)
            .map(|pair| pair[1] - pair[0])
            .collect();
        assert!(
            gaps.iter().all(|&gap| gap <= ms(200)),
            "the watch continues: {gaps:?}"
        );
    }
}

#[test]
fn a_new_address_is_called_at_once_in_every_state() {
    for (mode, known) in MODES.into_iter().flat_map(|m| KNOWN.map(|k| (m, k))) {
        for before in BAD {
            for step in 0..20 {
                let moved = ms(1000 + step * 170);
                // At the new address two calls fall silent.
                let silences = std::cell::Cell::new(0);
                let manner = move |_: usize, now: Duration| match now < moved {
                    true => before,
                    false if silences.replace(silences.get() + 1) < 2 => Manner::Unresponsive,
                    false => Manner::Responds,
                };
                let mut world = World::new(mode, known, manner);
                world.play(moved);
                world.now = moved;
                let calls = world.calls.len();
                world.handle(Event::AddressChanged);
                assert_eq!(
                    world.calls.len(),
                    calls + 1,
                    "{mode:?}, {before:?} at {moved:?}: asked at once"
                );
                assert_eq!(
                    world.open.len(),
                    1,
                    "{mode:?}, {before:?}: the old address is left"
                );
                world.play(moved + DELIVERY_TIME_AFTER_MOVE);
                assert!(
                    world.delivered_at.is_some(),
                    "{mode:?}, known {known:?}, {before:?}, moved at {moved:?}"
                );
            }
        }
    }
}

#[test]
fn nothing_is_requested_before_the_module_subscribes() {
    let mut watch = Watch::new(Mode::OnRequest, Some(1));
    let (start, mut actions) = (Instant::now(), Vec::new());
    watch.handle_start(start, &mut actions);
    watch.handle_event(start, Event::AddressChanged, &mut actions);
    watch.on_timeout(start + ms(60_000), &mut actions);
    assert_eq!((actions, watch.next_timeout()), (Vec::new(), None));
}

/// A subscription that comes while the watch stands is answered by it, and once only.
#[test]
fn the_first_answer_is_handed_on_and_then_only_changes() {
    let mut watch = Watch::new(Mode::OnRequest, Some(1));
    let mut now = Instant::now();
    let nothing = ListUpdate {
        version: 1,
        full: false,
        changes: false,
    };
    let mut actions = Vec::new();
    watch.handle_event(now, Event::Subscribed, &mut actions);
    for delivered in [true, false, false] {
        let Some(&Action::Call { id, since: Some(1) }) = actions.last() else {
            panic!("{actions:?}")
        };
        actions.clear();
        now += LONG_POLL_TIMEOUT;
        watch.handle_event(now, Event::Answered(id, nothing), &mut actions);
        assert_eq!(actions[0] == Action::Deliver, delivered);
    }
    let Some(&Action::Call { id, .. }) = actions.last() else {
        panic!("{actions:?}")
    };
    actions.clear();
    watch.handle_event(now, Event::Subscribed, &mut actions);
    assert_eq!(actions, [], "the call that stands answers it");
    watch.handle_event(
        now + LONG_POLL_TIMEOUT,
        Event::Answered(id, nothing),
        &mut actions,
    );
    assert_eq!(actions[0], Action::Deliver);
}

/// An overdue answer that is older than what came meanwhile changes nothing and is no failure.
#[test]
fn an_overdue_answer_never_goes_back() {
    let mut watch = Watch::new(Mode::Pushed, Some(1));
    let (start, mut actions) = (Instant::now(), Vec::new());
    watch.handle_start(start, &mut actions);
    let [Action::Call { id: first, .. }] = actions[..] else {
        panic!("{actions:?}")
    };
    watch.handle_event(start, Event::Connected(first), &mut actions);
    watch.handle_event(start + ms(1400), Event::Received(first), &mut actions);
    actions.clear();
    watch.on_timeout(start + ms(1500), &mut actions);
    let [Action::Overdue { received: true }, Action::Call { id: second, .. }] = actions[..] else {
        panic!("{actions:?}")
    };
    actions.clear();
    let change = ListUpdate {
        version: 3,
        full: true,
        changes: true,
    };
    watch.handle_event(
        start + ms(1600),
        Event::Answered(second, change),
        &mut actions,
    );
    assert_eq!(actions[0], Action::Deliver);
    actions.clear();
    watch.handle_event(start + ms(1700), Event::Received(first), &mut actions);
    watch.handle_event(
        start + ms(1700),
        Event::Answered(
            first,
            ListUpdate {
                version: 2,
                ..change
            },
        ),
        &mut actions,
    );
    assert!(
        !actions
            .iter()
            .any(|a| matches!(a, Action::Deliver | Action::Fail(_))),
        "{actions:?}"
    );
    let Some(&Action::Call { since: Some(3), .. }) = actions.last() else {
        panic!("{actions:?}")
    };
}
