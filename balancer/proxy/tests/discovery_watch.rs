//! The watch on injected time: whatever discovery does, it is asked again before its deadline, and a change is known
//! within the time that the users state.
#[path = "../src/discovery/watch.rs"]
mod watch;

use std::time::{Duration, Instant};
use watch::{Action, Answer, CallId, Event, Mode, Watch, WAIT};

/// A change counts as told this long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// The same after SIGHUP.
const TOLD_AFTER_MOVE: Duration = Duration::from_secs(4);
/// A call that is heard and has news is answered within this.
const ANSWERED: Duration = Duration::from_millis(300);

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
    Silent,
    /// Writes half of the answer and then nothing.
    Half,
    /// Writes a piece each 0.4 s, for ever.
    Trickles,
    /// Answers with a version from before, where one is known.
    Stale,
    /// Answers a watch with no news once its wait is over, and a call for the whole list with version 1.
    NoNews,
    /// The same at once.
    NoWait,
    /// Writes the news in pieces over 4 s.
    Slow,
    /// Answers with the news.
    Answers,
}

const BAD: [Manner; 7] = [
    Manner::Refuses,
    Manner::Resets,
    Manner::NeverUp,
    Manner::Silent,
    Manner::Half,
    Manner::Trickles,
    Manner::Stale,
];

/// The version that the news leads to.
const NEWS: u64 = 2;

struct World {
    watch: Watch,
    start: Instant,
    now: Duration,
    /// What calls will meet, by time.
    due: Vec<(Duration, Event)>,
    /// Calls that are out.
    open: Vec<CallId>,
    most_open: usize,
    /// When each call began.
    calls: Vec<Duration>,
    failures: usize,
    /// When the news was handed on.
    told: Option<Duration>,
    /// What is done with each call: by its beginning.
    manner: Box<dyn Fn(usize, Duration) -> Manner>,
    /// How long the module waits before it subscribes again after a failure.
    again: Duration,
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
            due: Vec::new(),
            open: Vec::new(),
            most_open: 0,
            calls: Vec::new(),
            failures: 0,
            told: None,
            manner: Box::new(manner),
            again: ms(60_000),
        };
        let mut actions = Vec::new();
        world.watch.start(world.start, &mut actions);
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
            .handle(self.start + self.now, event, &mut actions);
        self.perform(actions, answer);
    }

    fn perform(&mut self, actions: Vec<Action>, answer: Option<Answer>) {
        for action in actions {
            match action {
                Action::Call { id, since } => self.begin(id, since),
                Action::Abandon(id) => {
                    self.open.retain(|open| *open != id);
                    self.due.retain(|(_, event)| !is_of(event, id));
                }
                Action::Deliver => {
                    let answer = answer.expect("an answer to hand on");
                    if answer.version >= NEWS && self.told.is_none() {
                        self.told = Some(self.now);
                    }
                }
                Action::Overdue { .. } => {}
                Action::Fail(_) => {
                    self.failures += 1;
                    self.due.push((self.now + self.again, Event::Subscribed));
                }
            }
        }
    }

    fn begin(&mut self, id: CallId, since: Option<u64>) {
        let manner = (self.manner)(self.calls.len(), self.now);
        self.calls.push(self.now);
        self.open.push(id);
        self.most_open = self.most_open.max(self.open.len());
        let answer = |version, changes| {
            Event::Answered(
                id,
                Answer {
                    version,
                    full: since.is_none(),
                    changes: changes || since.is_none(),
                },
            )
        };
        let news = answer(NEWS, since != Some(NEWS));
        let wait = if since.is_none() {
            Duration::ZERO
        } else {
            WAIT
        };
        let has_news = since.is_none_or(|version| version < NEWS);
        if !matches!(manner, Manner::Refuses | Manner::NeverUp) {
            self.after(ms(1), Event::Connected(id));
        }
        match manner {
            Manner::Refuses => self.after(ms(1), Event::Failed(id, "refused".into())),
            Manner::Resets => self.after(ms(200), Event::Failed(id, "reset".into())),
            Manner::NeverUp | Manner::Silent => {}
            Manner::Half => self.after(ms(200), Event::Received(id)),
            Manner::Trickles => (1..200).for_each(|n| self.after(ms(400) * n, Event::Received(id))),
            Manner::Stale if since.is_some_and(|version| version > 0) => {
                self.after(ms(5), answer(0, true))
            }
            Manner::Stale => self.after(ms(5), Event::Failed(id, "garbled".into())),
            Manner::NoNews => self.after(wait + ms(1), answer(since.unwrap_or(1), false)),
            Manner::NoWait => self.after(ms(2), answer(since.unwrap_or(1), false)),
            Manner::Slow if has_news => {
                (1..10).for_each(|n| self.after(ms(400) * n, Event::Received(id)));
                self.after(ms(4000), news);
            }
            Manner::Answers if has_news => self.after(ANSWERED, news),
            Manner::Slow | Manner::Answers => self.after(wait + ms(1), news),
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.due.push((self.now + delay, event));
    }

    /// Plays until a time, or until the news is known.
    fn play(&mut self, until: Duration) {
        while self.told.is_none() {
            let next = (0..self.due.len()).min_by_key(|&i| self.due[i].0);
            let deadline = self.watch.deadline().map(|at| at - self.start);
            let event_at = next.map(|i| self.due[i].0);
            let at = event_at
                .into_iter()
                .chain(deadline)
                .min()
                .expect("something is due");
            if at > until {
                break;
            }
            self.now = self.now.max(at);
            if event_at == Some(at) {
                let (_, event) = self.due.remove(next.expect("it is due"));
                self.handle(event);
            } else {
                let mut actions = Vec::new();
                self.watch
                    .handle_timeout(self.start + self.now, &mut actions);
                self.perform(actions, None);
            }
        }
        self.now = self.now.max(until.min(self.told.unwrap_or(until)));
    }
}

fn is_of(event: &Event, id: CallId) -> bool {
    match event {
        Event::Connected(of) | Event::Received(of) => *of == id,
        Event::Answered(of, _) | Event::Failed(of, _) => *of == id,
        Event::Subscribed | Event::Moved => false,
    }
}

const MODES: [Mode; 2] = [Mode::Pushed, Mode::OnRequest];
const KNOWN: [Option<u64>; 2] = [None, Some(1)];

/// Whatever three calls met before, and whatever the next one meets: news is known within 6 s of the moment from which
/// discovery has it and can be reached.
#[test]
fn a_change_is_known_in_time_after_any_three_failures_and_one_silence() {
    let mut latest = Duration::ZERO;
    let each = || BAD.into_iter().chain([Manner::NoNews]);
    for (mode, known) in MODES.into_iter().flat_map(|m| KNOWN.map(|k| (m, k))) {
        for before in each().flat_map(|a| each().flat_map(move |b| each().map(move |c| [a, b, c])))
        {
            for step in 0..12 {
                let reached = ms(step * 430);
                for then in [
                    Manner::Silent,
                    Manner::NeverUp,
                    Manner::Half,
                    Manner::Trickles,
                    Manner::Answers,
                ] {
                    // The first call after discovery can be reached again may still be one that falls silent.
                    let first = std::cell::Cell::new(true);
                    let manner = move |number: usize, now: Duration| match now < reached {
                        true => before[number % 3],
                        false if first.replace(false) => then,
                        false => Manner::Answers,
                    };
                    let mut world = World::new(mode, known, manner);
                    world.play(reached + TOLD);
                    let told = world.told.unwrap_or(Duration::MAX);
                    assert!(
                        told <= reached + TOLD,
                        "{mode:?}, known {known:?}, {before:?}, reached at {reached:?}, then {then:?}: {told:?}"
                    );
                    latest = latest.max(told.saturating_sub(reached));
                    assert!(world.most_open <= 2, "{} calls at once", world.most_open);
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
            Manner::Silent,
            Manner::NeverUp,
            Manner::Half,
            Manner::Trickles,
        ] {
            let mut world = World::new(
                mode,
                known,
                move |n, _| if n < 3 { manner } else { Manner::Answers },
            );
            world.play(TOLD);
            let told = world.told.expect("known in time");
            assert!(
                told <= ms(4800),
                "{mode:?}, known {known:?}, {manner:?}: {told:?}"
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
            1 | 2 => Manner::Silent,
            _ => Manner::Answers,
        });
        world.play(TOLD);
        let told = world.told.expect("known in time");
        assert!(told <= ms(5500), "{mode:?}, known {known:?}: {told:?}");
        assert_eq!(world.failures, 1, "a silence is no failure");
    }
}

#[test]
fn a_list_that_takes_long_but_keeps_coming_is_taken() {
    for (mode, known) in MODES.into_iter().flat_map(|m| KNOWN.map(|k| (m, k))) {
        let mut world = World::new(mode, known, |_, _| Manner::Slow);
        world.play(ms(30_000));
        assert_eq!(world.told, Some(ms(4000)), "{mode:?}, known {known:?}");
        assert!(world.calls.len() <= 4, "{} calls", world.calls.len());
    }
}

#[test]
fn an_answer_that_never_ends_is_given_up() {
    let mut world = World::new(Mode::Pushed, Some(1), |n, _| {
        if n == 0 {
            Manner::Trickles
        } else {
            Manner::NoNews
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
fn answers_without_news_that_come_at_once_cost_no_flood_of_calls() {
    for (mode, known) in MODES.into_iter().flat_map(|m| KNOWN.map(|k| (m, k))) {
        let mut world = World::new(mode, known, |n, _| {
            if n < 30 {
                Manner::NoWait
            } else {
                Manner::Answers
            }
        });
        world.play(TOLD);
        let told = world.told.expect("known in time");
        assert!(
            told >= ms(2800),
            "{mode:?}, known {known:?}: 30 calls in {told:?}"
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
fn a_new_address_is_asked_at_once_in_every_state() {
    for (mode, known) in MODES.into_iter().flat_map(|m| KNOWN.map(|k| (m, k))) {
        for before in BAD {
            for step in 0..20 {
                let moved = ms(1000 + step * 170);
                // At the new address two calls fall silent.
                let silences = std::cell::Cell::new(0);
                let manner = move |_: usize, now: Duration| match now < moved {
                    true => before,
                    false if silences.replace(silences.get() + 1) < 2 => Manner::Silent,
                    false => Manner::Answers,
                };
                let mut world = World::new(mode, known, manner);
                world.play(moved);
                world.now = moved;
                let calls = world.calls.len();
                world.handle(Event::Moved);
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
                world.play(moved + TOLD_AFTER_MOVE);
                assert!(
                    world.told.is_some(),
                    "{mode:?}, known {known:?}, {before:?}, moved at {moved:?}"
                );
            }
        }
    }
}

#[test]
fn nothing_is_asked_before_the_module_subscribes() {
    let mut watch = Watch::new(Mode::OnRequest, Some(1));
    let (start, mut actions) = (Instant::now(), Vec::new());
    watch.start(start, &mut actions);
    watch.handle(start, Event::Moved, &mut actions);
    watch.handle_timeout(start + ms(60_000), &mut actions);
    assert_eq!((actions, watch.deadline()), (Vec::new(), None));
}

/// A subscription that comes while the watch stands is answered by it, and once only.
#[test]
fn the_first_answer_is_handed_on_and_then_only_changes() {
    let mut watch = Watch::new(Mode::OnRequest, Some(1));
    let mut now = Instant::now();
    let nothing = Answer {
        version: 1,
        full: false,
        changes: false,
    };
    let mut actions = Vec::new();
    watch.handle(now, Event::Subscribed, &mut actions);
    for delivered in [true, false, false] {
        let Some(&Action::Call { id, since: Some(1) }) = actions.last() else {
            panic!("{actions:?}")
        };
        actions.clear();
        now += WAIT;
        watch.handle(now, Event::Answered(id, nothing), &mut actions);
        assert_eq!(actions[0] == Action::Deliver, delivered);
    }
    let Some(&Action::Call { id, .. }) = actions.last() else {
        panic!("{actions:?}")
    };
    actions.clear();
    watch.handle(now, Event::Subscribed, &mut actions);
    assert_eq!(actions, [], "the call that stands answers it");
    watch.handle(now + WAIT, Event::Answered(id, nothing), &mut actions);
    assert_eq!(actions[0], Action::Deliver);
}

/// An overdue answer that is older than what came meanwhile changes nothing and is no failure.
#[test]
fn an_overdue_answer_never_goes_back() {
    let mut watch = Watch::new(Mode::Pushed, Some(1));
    let (start, mut actions) = (Instant::now(), Vec::new());
    watch.start(start, &mut actions);
    let [Action::Call { id: first, .. }] = actions[..] else {
        panic!("{actions:?}")
    };
    watch.handle(start, Event::Connected(first), &mut actions);
    watch.handle(start + ms(1400), Event::Received(first), &mut actions);
    actions.clear();
    watch.handle_timeout(start + ms(1500), &mut actions);
    let [Action::Overdue { received: true }, Action::Call { id: second, .. }] = actions[..] else {
        panic!("{actions:?}")
    };
    actions.clear();
    let news = Answer {
        version: 3,
        full: true,
        changes: true,
    };
    watch.handle(
        start + ms(1600),
        Event::Answered(second, news),
        &mut actions,
    );
    assert_eq!(actions[0], Action::Deliver);
    actions.clear();
    watch.handle(start + ms(1700), Event::Received(first), &mut actions);
    watch.handle(
        start + ms(1700),
        Event::Answered(first, Answer { version: 2, ..news }),
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
