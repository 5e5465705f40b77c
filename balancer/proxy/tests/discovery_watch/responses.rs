//! Lists that arrive, address changes, and subscriptions.
use crate::harness::*;
use crate::watch::{Action, Event, ListUpdate, Mode, Watch, LONG_POLL_TIMEOUT};
use std::time::{Duration, Instant};

/// As [`DELIVERY_TIME`], after SIGHUP with a new address.
const DELIVERY_TIME_AFTER_MOVE: Duration = Duration::from_secs(4);

#[test]
fn slow_but_progressing_list_is_accepted() {
    for (mode, known) in MODES
        .into_iter()
        .flat_map(|m| KNOWN_VERSIONS.map(|k| (m, k)))
    {
        let mut harness = Harness::new(mode, known, |_, _| Behavior::Slow);
        harness.run_until(ms(30_000));
        assert_eq!(
            harness.delivered_at,
            Some(ms(4000)),
            "{mode:?}, known {known:?}"
        );
        assert!(harness.calls.len() <= 4, "{} calls", harness.calls.len());
    }
}

/// Discovery that responds without waiting is not called as often as it responds; a change is delivered at once.
#[test]
fn immediate_unchanged_responses_do_not_cause_a_flood() {
    for (mode, known) in MODES
        .into_iter()
        .flat_map(|m| KNOWN_VERSIONS.map(|k| (m, k)))
    {
        let mut harness = Harness::new(mode, known, |n, _| {
            if n < 30 {
                Behavior::NoChangeImmediately
            } else {
                Behavior::Responds
            }
        });
        harness.run_until(DELIVERY_TIME);
        let delivered_at = harness.delivered_at.expect("change delivered in time");
        assert!(
            delivered_at >= ms(2800),
            "{mode:?}, known {known:?}: 30 calls in {delivered_at:?}"
        );
        // All 30 calls were answered 2 ms after they began.
        let gaps: Vec<_> = harness.calls[..=30]
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
fn new_address_is_called_immediately_in_every_state() {
    for (mode, known) in MODES
        .into_iter()
        .flat_map(|m| KNOWN_VERSIONS.map(|k| (m, k)))
    {
        for earlier in FAILING_BEHAVIORS {
            for step in 0..20 {
                let moved_at = ms(1000 + step * 170);
                // Two calls at the new address time out.
                let timeouts = std::cell::Cell::new(0);
                let behavior = move |_: usize, now: Duration| match now < moved_at {
                    true => earlier,
                    false if timeouts.replace(timeouts.get() + 1) < 2 => Behavior::Unresponsive,
                    false => Behavior::Responds,
                };
                let mut harness = Harness::new(mode, known, behavior);
                harness.run_until(moved_at);
                harness.now = moved_at;
                let calls = harness.calls.len();
                harness.handle(Event::AddressChanged);
                assert_eq!(
                    harness.calls.len(),
                    calls + 1,
                    "{mode:?}, {earlier:?} at {moved_at:?}: called at once"
                );
                assert_eq!(
                    harness.open.len(),
                    1,
                    "{mode:?}, {earlier:?}: the call to the old address is abandoned"
                );
                harness.run_until(moved_at + DELIVERY_TIME_AFTER_MOVE);
                assert!(
                    harness.delivered_at.is_some(),
                    "{mode:?}, known {known:?}, {earlier:?}, moved at {moved_at:?}"
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

/// A subscription during a pending call is answered by that call, once.
#[test]
fn first_response_is_delivered_then_only_changes() {
    let mut watch = Watch::new(Mode::OnRequest, Some(1));
    let mut now = Instant::now();
    let no_change = ListUpdate {
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
        watch.handle_event(now, Event::Answered(id, no_change), &mut actions);
        assert_eq!(actions[0] == Action::Deliver, delivered);
    }
    let Some(&Action::Call { id, .. }) = actions.last() else {
        panic!("{actions:?}")
    };
    actions.clear();
    watch.handle_event(now, Event::Subscribed, &mut actions);
    assert_eq!(actions, [], "the pending call answers it");
    watch.handle_event(
        now + LONG_POLL_TIMEOUT,
        Event::Answered(id, no_change),
        &mut actions,
    );
    assert_eq!(actions[0], Action::Deliver);
}

/// An overdue response that is older than a list received meanwhile changes nothing and is not a failure.
#[test]
fn overdue_response_never_reverts_to_older_version() {
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
