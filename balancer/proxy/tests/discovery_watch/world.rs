//! Discovery and time as the watch sees them: what is done with each call, and when.
use crate::watch::{Action, CallId, Event, ListUpdate, Mode, Watch, LONG_POLL_TIMEOUT};
use std::time::{Duration, Instant};

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What discovery does with a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Manner {
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

pub(crate) const BAD: [Manner; 7] = [
    Manner::Refuses,
    Manner::Resets,
    Manner::NeverUp,
    Manner::Unresponsive,
    Manner::Half,
    Manner::Trickles,
    Manner::Stale,
];

/// The version that the news leads to.
pub(crate) const CHANGED_VERSION: u64 = 2;

/// A change counts as told this long after discovery had it and could be reached.
pub(crate) const DELIVERY_TIME: Duration = Duration::from_secs(6);

/// A call that is heard and has news is answered within this.
pub(crate) const RESPONSE_TIME: Duration = Duration::from_millis(300);

pub(crate) struct World {
    pub(crate) watch: Watch,
    pub(crate) start: Instant,
    pub(crate) now: Duration,
    /// What calls will meet, by time.
    pub(crate) scheduled: Vec<(Duration, Event)>,
    /// Calls that are out.
    pub(crate) open: Vec<CallId>,
    pub(crate) max_open: usize,
    /// When each call began.
    pub(crate) calls: Vec<Duration>,
    pub(crate) failures: usize,
    /// When the news was handed on.
    pub(crate) delivered_at: Option<Duration>,
    /// What is done with each call: by its beginning.
    pub(crate) manner: Box<dyn Fn(usize, Duration) -> Manner>,
    /// How long the module waits before it subscribes again after a failure.
    pub(crate) resubscribe_after: Duration,
}

impl World {
    pub(crate) fn new(
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

    pub(crate) fn handle(&mut self, event: Event) {
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

    pub(crate) fn perform(&mut self, actions: Vec<Action>, answer: Option<ListUpdate>) {
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

    pub(crate) fn begin(&mut self, id: CallId, since: Option<u64>) {
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

    pub(crate) fn after(&mut self, delay: Duration, event: Event) {
        self.scheduled.push((self.now + delay, event));
    }

    /// Plays until a time, or until the news is known.
    pub(crate) fn play(&mut self, until: Duration) {
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

pub(crate) fn is_of(event: &Event, id: CallId) -> bool {
    match event {
        Event::Connected(of) | Event::Received(of) => *of == id,
        Event::Answered(of, _) | Event::Failed(of, _) => *of == id,
        Event::Subscribed | Event::AddressChanged => false,
    }
}

pub(crate) const MODES: [Mode; 2] = [Mode::Pushed, Mode::OnRequest];

pub(crate) const KNOWN: [Option<u64>; 2] = [None, Some(1)];
