//! When discovery is asked: a state machine on injected time, without I/O. Owns what is known of the watch: the version
//! of the list, the call that stands, and an older one that may still be answered.
//!
//! One deadline holds in every state: [`Watch::deadline`] is never further away than [`ASK_AGAIN`] after the last call
//! began or [`LONGEST_PAUSE`] after it failed, and then discovery is asked again whatever came before. A change counts as
//! told 6 s after discovery had it and could be reached. The longest way there is a pause, two calls without an answer
//! and one with: 2 s, twice 1.5 s, and 0.5 s for the answer.
use std::time::{Duration, Instant};

/// How long a call may wait for news at discovery.
pub(super) const WAIT: Duration = Duration::from_secs(1);
/// A call without a whole answer this long after it began is followed by the next: its wait, and time to answer.
const ASK_AGAIN: Duration = Duration::from_millis(1500);
/// Pause after a failed call where the list is pushed: the agent is on this machine and answers at no cost.
const PUSHED_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a failed call where lists are asked for, unless the module asks earlier.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);
/// A call that is answered with nothing newer is followed by the next this long after it began at the soonest: discovery
/// may answer without waiting. A watch continues if the next call comes within 200 ms of the last answer.
const SPACING: Duration = Duration::from_millis(100);
/// How long an overdue call may go on, from its beginning, while nothing of its answer has come.
const OVERDUE_UNANSWERED: Duration = Duration::from_secs(6);
/// How long an overdue call may go on between two pieces of its answer.
const OVERDUE_GAP: Duration = Duration::from_millis(1500);
/// How long an overdue call may go on in all.
const OVERDUE_MOST: Duration = Duration::from_secs(30);

/// One call, numbered in the order in which they begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CallId(u64);

/// How the list is had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// The watch always stands.
    Pushed,
    /// The watch stands once the module has subscribed; a failed call ends the subscription.
    OnRequest,
}

/// What an answer says of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Answer {
    /// The version that it leads to.
    pub version: u64,
    /// Whether it is the whole list.
    pub full: bool,
    /// Whether it names any upstream.
    pub changes: bool,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// The module wants to be told of changes.
    Subscribed,
    /// Discovery has another address.
    Moved,
    /// The connection of a call is up.
    Connected(CallId),
    /// Some bytes of an answer came.
    Received(CallId),
    /// A whole answer came.
    Answered(CallId, Answer),
    /// A call was refused, broke, or brought what cannot be used.
    Failed(CallId, String),
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// Call for changes since a version, or for the whole list.
    Call {
        /// Its number.
        id: CallId,
        /// The version that is known.
        since: Option<u64>,
    },
    /// Give a call up and close its connection.
    Abandon(CallId),
    /// Hand the answer that was just told on.
    Deliver,
    /// Tell that a call was not answered in time; whether a part of the answer came.
    Overdue {
        /// See there.
        received: bool,
    },
    /// Tell that the watch has failed, and why.
    Fail(String),
}

/// How far a call is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Connecting,
    Waiting,
    /// Since when nothing more came.
    Receiving(Instant),
}

#[derive(Clone, Copy, Debug)]
struct Call {
    id: CallId,
    since: Option<u64>,
    began: Instant,
    stage: Stage,
}

impl Call {
    fn receiving(&self) -> bool {
        matches!(self.stage, Stage::Receiving(_))
    }

    /// Whether an answer may still come though it is late. A connection that came up and on which a call for news
    /// stays without a byte is broken.
    fn may_be_answered(&self) -> bool {
        self.stage != Stage::Waiting || self.since.is_none()
    }

    /// When it is given up once it is overdue.
    fn ends(&self) -> Instant {
        match self.stage {
            Stage::Connecting | Stage::Waiting => self.began + OVERDUE_UNANSWERED,
            Stage::Receiving(last) => (last + OVERDUE_GAP).min(self.began + OVERDUE_MOST),
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// Nobody has subscribed yet.
    Unasked,
    /// A call stands.
    Calling(Call),
    /// The last call failed, or brought nothing newer too soon.
    Paused { until: Instant },
}

/// The watch.
pub(super) struct Watch {
    mode: Mode,
    /// The version of the list that is known.
    version: Option<u64>,
    state: State,
    /// A call that was not answered in time but may be yet; the next one stands beside it.
    overdue: Option<Call>,
    /// Whether the subscription that stands has had its first answer.
    informed: bool,
    next_id: u64,
}

impl Watch {
    /// A watch that begins with the version of the list that the balancer already has, if any.
    pub(super) fn new(mode: Mode, version: Option<u64>) -> Watch {
        Watch {
            mode,
            version,
            state: State::Unasked,
            overdue: None,
            informed: false,
            next_id: 0,
        }
    }

    /// Begins; a pushed list is watched without a subscription.
    pub(super) fn start(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.mode == Mode::Pushed {
            self.call(now, actions);
        }
    }

    /// When [`Watch::handle_timeout`] is due.
    pub(super) fn deadline(&self) -> Option<Instant> {
        let ask_again = match self.state {
            State::Unasked => None,
            State::Calling(call) => Some(call.began + ASK_AGAIN),
            State::Paused { until } => Some(until),
        };
        let give_up = self.overdue.map(|call| call.ends());
        ask_again.into_iter().chain(give_up).min()
    }

    /// Does what is due by now.
    pub(super) fn handle_timeout(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(call) = self.overdue.take_if(|call| now >= call.ends()) {
            actions.push(Action::Abandon(call.id));
        }
        match self.state {
            State::Calling(call) if now >= call.began + ASK_AGAIN => {
                actions.push(Action::Overdue {
                    received: call.receiving(),
                });
                self.set_aside(call, actions);
                self.call(now, actions);
            }
            State::Paused { until } if now >= until => self.call(now, actions),
            State::Unasked | State::Calling(_) | State::Paused { .. } => {}
        }
    }

    /// Takes what happened. Events of calls that were given up are ignored.
    pub(super) fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Subscribed => self.subscribed(now, actions),
            Event::Moved => self.moved(now, actions),
            Event::Connected(id) => self.advance(id, Stage::Waiting),
            Event::Received(id) => self.advance(id, Stage::Receiving(now)),
            Event::Answered(id, answer) => self.answered(now, id, answer, actions),
            Event::Failed(id, error) => self.failed(now, id, error, actions),
        }
    }

    fn subscribed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.informed = false;
        // A call that stands answers the subscription.
        if !matches!(self.state, State::Calling(_)) {
            self.call(now, actions);
        }
    }

    /// The old address tells nothing more, and the new one has not failed yet.
    fn moved(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(call) = self.overdue.take() {
            actions.push(Action::Abandon(call.id));
        }
        match self.state {
            State::Unasked => return,
            State::Calling(call) => actions.push(Action::Abandon(call.id)),
            State::Paused { .. } => {}
        }
        self.call(now, actions);
    }

    fn advance(&mut self, id: CallId, stage: Stage) {
        if let State::Calling(call) = &mut self.state {
            if call.id == id {
                call.stage = stage;
            }
        }
        if let Some(call) = self.overdue.as_mut().filter(|call| call.id == id) {
            call.stage = stage;
        }
    }

    fn answered(&mut self, now: Instant, id: CallId, answer: Answer, actions: &mut Vec<Action>) {
        let (call, stands) = match (self.state, self.overdue) {
            (State::Calling(call), _) if call.id == id => (call, true),
            (_, Some(call)) if call.id == id => (call, false),
            _ => return,
        };
        let expected = call.since.unwrap_or(0);
        if answer.version < expected || (call.since.is_none() && !answer.full) {
            let error = format!("version {} does not follow {expected}", answer.version);
            return self.failed(now, id, error, actions);
        }
        let newer = self.version.is_none_or(|known| answer.version > known);
        // Guards against an overdue answer that is older than what came meanwhile.
        if self.version.is_none_or(|known| answer.version >= known) {
            self.version = Some(answer.version);
            // One event answers the subscription; after that only changes are news.
            if !self.informed || answer.full || answer.changes {
                actions.push(Action::Deliver);
            }
            self.informed = true;
        }
        match stands {
            true if !newer && now < call.began + SPACING => {
                self.state = State::Paused {
                    until: call.began + SPACING,
                };
            }
            true => self.call(now, actions),
            false => self.after_overdue(now, actions),
        }
    }

    /// The connection of the answer has proven itself: the next call goes on it, unless the one that stands is being
    /// answered.
    fn after_overdue(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.overdue = None;
        match self.state {
            State::Calling(call) if call.receiving() => return,
            State::Calling(call) => actions.push(Action::Abandon(call.id)),
            State::Unasked | State::Paused { .. } => {}
        }
        self.call(now, actions);
    }

    fn failed(&mut self, now: Instant, id: CallId, error: String, actions: &mut Vec<Action>) {
        // That an overdue call fails is no news: the next one stands in its place.
        if self.overdue.take_if(|call| call.id == id).is_some() {
            return;
        }
        if !matches!(self.state, State::Calling(call) if call.id == id) {
            return;
        }
        let pause = match self.mode {
            Mode::Pushed => PUSHED_PAUSE,
            Mode::OnRequest => LONGEST_PAUSE,
        };
        self.state = State::Paused { until: now + pause };
        self.informed = false;
        actions.push(Action::Fail(error));
    }

    /// Keeps the call beside the next one if it may still be answered. One call is kept at most, and one whose answer
    /// is coming goes before one that has none.
    fn set_aside(&mut self, call: Call, actions: &mut Vec<Action>) {
        let better = self
            .overdue
            .is_none_or(|kept| call.receiving() && !kept.receiving());
        let given_up = match better && call.may_be_answered() {
            true => self.overdue.replace(call),
            false => Some(call),
        };
        actions.extend(given_up.map(|call| Action::Abandon(call.id)));
    }

    fn call(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let id = CallId(self.next_id);
        self.next_id += 1;
        let since = self.version;
        self.state = State::Calling(Call {
            id,
            since,
            began: now,
            stage: Stage::Connecting,
        });
        actions.push(Action::Call { id, since });
    }
}
