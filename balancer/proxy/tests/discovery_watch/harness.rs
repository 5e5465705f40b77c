//! Runs the watch against a fake discovery on simulated time: how each call is handled, and when.
use crate::watch::{Action, CallId, Event, ListUpdate, Mode, Watch, LONG_POLL_TIMEOUT};
use std::time::{Duration, Instant};

pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// How discovery handles a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behavior {
    /// Refuses the connection.
    Refuses,
    /// Fails the call after 0.2 s without a response.
    Resets,
    /// Never lets the connection be established.
    NeverConnects,
    /// Accepts the connection and never responds.
    Unresponsive,
    /// Writes half of a response, then nothing.
    PartialResponse,
    /// Writes a piece every 0.4 s, without end.
    Trickles,
    /// Responds with an earlier version where one is known, else with an invalid response.
    Stale,
    /// Responds to a watch without a change once its long poll times out, and to a call for the full list with version
    /// 1.
    NoChange,
    /// As `NoChange`, at once.
    NoChangeImmediately,
    /// Writes the change in pieces over 4 s.
    Slow,
    /// Responds with the change.
    Responds,
}

pub(crate) const FAILING_BEHAVIORS: [Behavior; 7] = [
    Behavior::Refuses,
    Behavior::Resets,
    Behavior::NeverConnects,
    Behavior::Unresponsive,
    Behavior::PartialResponse,
    Behavior::Trickles,
    Behavior::Stale,
];

/// The version after the change.
pub(crate) const CHANGED_VERSION: u64 = 2;

/// A change must be known within this time after discovery had it and was reachable.
pub(crate) const DELIVERY_TIME: Duration = Duration::from_secs(6);

/// A received call for which there is a change is answered within this time.
pub(crate) const RESPONSE_TIME: Duration = Duration::from_millis(300);

pub(crate) struct Harness {
    pub(crate) watch: Watch,
    pub(crate) start: Instant,
    pub(crate) now: Duration,
    /// Future events of the calls, by time.
    pub(crate) scheduled: Vec<(Duration, Event)>,
    /// Calls in progress.
    pub(crate) open: Vec<CallId>,
    pub(crate) max_open: usize,
    /// Start time of each call.
    pub(crate) calls: Vec<Duration>,
    pub(crate) failures: usize,
    /// When the change was delivered.
    pub(crate) delivered_at: Option<Duration>,
    /// How each call is handled, by its number and start time.
    pub(crate) behavior: Box<dyn Fn(usize, Duration) -> Behavior>,
    /// How long after a failure the module subscribes again.
    pub(crate) resubscribe_after: Duration,
}

impl Harness {
    pub(crate) fn new(
        mode: Mode,
        version: Option<u64>,
        behavior: impl Fn(usize, Duration) -> Behavior + 'static,
    ) -> Harness {
        let mut harness = Harness {
            watch: Watch::new(mode, version),
            start: Instant::now(),
            now: Duration::ZERO,
            scheduled: Vec::new(),
            open: Vec::new(),
            max_open: 0,
            calls: Vec::new(),
            failures: 0,
            delivered_at: None,
            behavior: Box::new(behavior),
            resubscribe_after: ms(60_000),
        };
        let mut actions = Vec::new();
        harness.watch.handle_start(harness.start, &mut actions);
        harness.perform(actions, None);
        if mode == Mode::OnRequest {
            harness.handle(Event::Subscribed);
        }
        harness
    }

    pub(crate) fn handle(&mut self, event: Event) {
        let response = match event {
            Event::Answered(id, response) if self.open.contains(&id) => Some(response),
            _ => None,
        };
        if let Event::Answered(id, _) | Event::Failed(id, _) = event {
            self.open.retain(|open| *open != id);
        }
        let mut actions = Vec::new();
        self.watch
            .handle_event(self.start + self.now, event, &mut actions);
        self.perform(actions, response);
    }

    pub(crate) fn perform(&mut self, actions: Vec<Action>, response: Option<ListUpdate>) {
        for action in actions {
            match action {
                Action::Call { id, since } => self.begin(id, since),
                Action::Abandon(id) => {
                    self.open.retain(|open| *open != id);
                    self.scheduled.retain(|(_, event)| !belongs_to(event, id));
                }
                Action::Deliver => {
                    let response = response.expect("a response to deliver");
                    if response.version >= CHANGED_VERSION && self.delivered_at.is_none() {
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
        let behavior = (self.behavior)(self.calls.len(), self.now);
        self.calls.push(self.now);
        self.open.push(id);
        self.max_open = self.max_open.max(self.open.len());
        let response = |version, changes| {
            Event::Answered(
                id,
                ListUpdate {
                    version,
                    full: since.is_none(),
                    changes: changes || since.is_none(),
                },
            )
        };
        let change = response(CHANGED_VERSION, since != Some(CHANGED_VERSION));
        let poll_wait = if since.is_none() {
            Duration::ZERO
        } else {
            LONG_POLL_TIMEOUT
        };
        let has_change = since.is_none_or(|version| version < CHANGED_VERSION);
        if !matches!(behavior, Behavior::Refuses | Behavior::NeverConnects) {
            self.schedule(ms(1), Event::Connected(id));
        }
        match behavior {
            Behavior::Refuses => self.schedule(ms(1), Event::Failed(id, "refused".into())),
            Behavior::Resets => self.schedule(ms(200), Event::Failed(id, "reset".into())),
            Behavior::NeverConnects | Behavior::Unresponsive => {}
            Behavior::PartialResponse => self.schedule(ms(200), Event::Received(id)),
            Behavior::Trickles => {
                (1..200).for_each(|n| self.schedule(ms(400) * n, Event::Received(id)))
            }
            Behavior::Stale if since.is_some_and(|version| version > 0) => {
                self.schedule(ms(5), response(0, true))
            }
            Behavior::Stale => self.schedule(ms(5), Event::Failed(id, "garbled".into())),
            Behavior::NoChange => {
                self.schedule(poll_wait + ms(1), response(since.unwrap_or(1), false))
            }
            Behavior::NoChangeImmediately => {
                self.schedule(ms(2), response(since.unwrap_or(1), false))
            }
            Behavior::Slow if has_change => {
                (1..10).for_each(|n| self.schedule(ms(400) * n, Event::Received(id)));
                self.schedule(ms(4000), change);
            }
            Behavior::Responds if has_change => self.schedule(RESPONSE_TIME, change),
            Behavior::Slow | Behavior::Responds => self.schedule(poll_wait + ms(1), change),
        }
    }

    pub(crate) fn schedule(&mut self, delay: Duration, event: Event) {
        self.scheduled.push((self.now + delay, event));
    }

    /// Runs until this time, or until the change is delivered.
    pub(crate) fn run_until(&mut self, until: Duration) {
        while self.delivered_at.is_none() {
            let next = (0..self.scheduled.len()).min_by_key(|&i| self.scheduled[i].0);
            let next_timeout = self.watch.next_timeout().map(|at| at - self.start);
            let event_at = next.map(|i| self.scheduled[i].0);
            let at = event_at
                .into_iter()
                .chain(next_timeout)
                .min()
                .expect("a pending event");
            if at > until {
                break;
            }
            self.now = self.now.max(at);
            if event_at == Some(at) {
                let (_, event) = self.scheduled.remove(next.expect("a scheduled event"));
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

pub(crate) fn belongs_to(event: &Event, id: CallId) -> bool {
    match event {
        Event::Connected(of) | Event::Received(of) => *of == id,
        Event::Answered(of, _) | Event::Failed(of, _) => *of == id,
        Event::Subscribed | Event::AddressChanged => false,
    }
}

pub(crate) const MODES: [Mode; 2] = [Mode::Pushed, Mode::OnRequest];

pub(crate) const KNOWN_VERSIONS: [Option<u64>; 2] = [None, Some(1)];
