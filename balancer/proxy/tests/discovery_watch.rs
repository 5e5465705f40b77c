//! The watch on injected time: whatever discovery does, it is asked again before its deadline, and a change is known
//! within the time that the users state.
#[path = "../src/discovery/watch.rs"]
mod watch;

use std::time::{Duration, Instant};
use watch::{Action, CallId, Event, ListUpdate, Mode, Watch, LONG_POLL_TIMEOUT};

/// A change counts as told this long after discovery had it and could be reached.
const DELIVERY_TIME: Duration = Duration::from_secs(6);
/// The same after SIGHUP.
const DELIVERY_TIME_AFTER_MOVE: Duration = Duration::from_secs(4);
/// A call that is heard and has news is answered within this.
const RESPONSE_TIME: Duration = Duration::from_millis(300);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What discovery does with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Manner {
    /// Refuses the connection.
    Refuses,
    /// Ends the call after 0.2 s, with no answer.
    Resets,
    /// Never lets the connection come up.
    NeverUp,
    /// Says nothing.
    Unresponsive,
    /// Writes half of the answer and then nothing.
    Half,
    /// Writes a piece each 0.4 s, for ever.
    Trickles,
    /// Answers with a version from before, where one is known.
    Stale,
    /// Answers a watch with no news once its wait is over, and a call for the whole list with version 1.
    NoChange,
    /// The same at once.
    NoChangeAtOnce,
    /// Writes the news in pieces over 4 s.
    Slow,
    /// Answers with the news.
    Responds,
}

const BAD: [Manner; 7] = [
    Manner::Refuses,
    Manner::Resets,
    Manner::NeverUp,
    Manner::Unresponsive,
    Manner::Half,
    Manner::Trickles,
    Manner::Stale,
];

/// The version that the news leads to.
const CHANGED_VERSION: u64 = 2;

struct World {
    watch: Watch,
    start: Instant,
    now: Duration,
    /// What calls will meet, by time.
    scheduled: Vec<(Duration, Event)>,
    /// Calls that are out.
    open: Vec<CallId>,
    max_open: usize,
    /// When each call began.
    calls: Vec<Duration>,
    failures: usize,
    /// When the news was handed on.
    delivered_at: Option<Duration>,
    /// What is done with each call: by its beginning.
    manner: Box<dyn Fn(usize, Duration) -> Manner>,
    /// How long the module waits before it subscribes again after a failure.
    resubscribe_after: Duration,
}

impl World {
    fn new(
        mode: Mode,
        version: Option<u64>,
        manner: impl Fn(usize, Duration) -> Manner + 'static,
    ) -> World {
        let mut world = World {
            watch: Watch::new(mode, version),
            start: Instant::now(),
            now: Duration::ZERO,
            scheduled: Vec::new(),
            open: Vec::new(),
            max_open: 0,
            calls: Vec::new(),
            failures: 0,
            delivered_at: None,
            manner: Box::new(manner),
            resubscribe_after: ms(60_000),
        };
        let mut actions = Vec::new();
        world.watch.handle_start(world.start, &mut actions);
        world.perform(actions, None);
        if mode == Mode::OnRequest {
            world.handle(Event::Subscribed);
        }
        world
    }

    fn handle(&mut self, event: Event) {
        let answer = match event {
            Event::Answered(id, answer) if self.open.contains(&id) => Some(answer),
            _ => None,
        };
        if let Event::Answered(id, _) | Event::Failed(id, _) = event {
            self.open.retain(|open| *open != id);
        }
        let mut actions = Vec::new();
        self.watch
            .handle_event(self.start + self.now, event, &mut actions);
        self.perform(actions, answer);
    }

    fn perform(&mut self, actions: Vec<Action>, answer: Option<ListUpdate>) {
        for action in actions {
            match action {
                Action::Call { id, since } => self.begin(id, since),
                Action::Abandon(id) => {
                    self.open.retain(|open| *open != id);
                    self.scheduled.retain(|(_, event)| !is_of(event, id));
                }
                Action::Deliver => {
                    let answer = answer.expect("an answer to hand on");
                    if answer.version >= CHANGED_VERSION && self.delivered_at.is_none() {
                        self.delivered_at = Some(self.now);
                    }
                }
                Action::Overdue { .. } => {}
                Action::Fail(_) => {
                    self.failures += 1;
                    self.scheduled
                        .push((self.now + self.resubscribe_after, Event::Subscribed));
                }
            }
        }
    }

    fn begin(&mut self, id: CallId, since: Option<u64>) {
        let manner = (self.manner)(self.calls.len(), self.now);
        self.calls.push(self.now);
        self.open.push(id);
        self.max_open = self.max_open.max(self.open.len());
        let answer = |version, changes| {
            Event::Answered(
                id,
                ListUpdate {
                    version,
                    full: since.is_none(),
                    changes: changes || since.is_none(),
                },
            )
        };
        let change = answer(CHANGED_VERSION, since != Some(CHANGED_VERSION));
        let wait = if since.is_none() {
            Duration::ZERO
        } else {
            LONG_POLL_TIMEOUT
        };
        let has_change = since.is_none_or(|version| version < CHANGED_VERSION);
        if !matches!(manner, Manner::Refuses | Manner::NeverUp) {
            self.after(ms(1), Event::Connected(id));
        }
        match manner {
            Manner::Refuses => self.after(ms(1), Event::Failed(id, "refused".into())),
            Manner::Resets => self.after(ms(200), Event::Failed(id, "reset".into())),
            Manner::NeverUp | Manner::Unresponsive => {}
            Manner::Half => self.after(ms(200), Event::Received(id)),
            Manner::Trickles => (1..200).for_each(|n| self.after(ms(400) * n, Event::Received(id))),
            Manner::Stale if since.is_some_and(|version| version > 0) => {
                self.after(ms(5), answer(0, true))
            }
            Manner::Stale => self.after(ms(5), Event::Failed(id, "garbled".into())),
            Manner::NoChange => self.after(wait + ms(1), answer(since.unwrap_or(1), false)),
            Manner::NoChangeAtOnce => self.after(ms(2), answer(since.unwrap_or(1), false)),
            Manner::Slow if has_change => {
                (1..10).for_each(|n| self.after(ms(400) * n, Event::Received(id)));
                self.after(ms(4000), change);
            }
            Manner::Responds if has_change => self.after(RESPONSE_TIME, change),
            Manner::Slow | Manner::Responds => self.after(wait + ms(1), change),
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.scheduled.push((self.now + delay, event));
    }

    /// Plays until a time, or until the news is known.
    fn play(&mut self, until: Duration) {
        while self.delivered_at.is_none() {
            let next = (0..self.scheduled.len()).min_by_key(|&i| self.scheduled[i].0);
            let next_timeout = self.watch.next_timeout().map(|at| at - self.start);
            let event_at = next.map(|i| self.scheduled[i].0);
            let at = event_at
                .into_iter()
                .chain(next_timeout)
                .min()
                .expect("something is due");
            if at > until {
                break;
            }
            self.now = self.now.max(at);
            if event_at == Some(at) {
                let (_, event) = self.scheduled.remove(next.expect("it is due"));
                self.handle(event);
            } else {
                let mut actions = Vec::new();
                self.watch.on_timeout(self.start + self.now, &mut actions);
                self.perform(actions, None);
            }
        }
        self.now = self.now.max(until.min(self.delivered_at.unwrap_or(until)));
    }
}

fn is_of(event: &Event, id: CallId) -> bool {
    match event {
        Event::Connected(of) | Event::Received(of) => *of == id,
        Event::Answered(of, _) | Event::Failed(of, _) => *of == id,
        Event::Subscribed | Event::AddressChanged => false,
    }
}

const MODES: [Mode; 2] = [Mode::Pushed, Mode::OnRequest];
const KNOWN: [Option<u64>; 2] = [None, Some(1)];

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
