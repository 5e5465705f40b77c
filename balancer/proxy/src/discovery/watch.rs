//! When discovery is called: a state machine on injected time, without I/O. Owns what is known of the watch: the version
//! of the list, the call that stands, and an older one that may still be answered.
//!
//! One deadline holds in every state: [`Watch::next_timeout`] is never further away than [`CALL_TIMEOUT`] after the last call
//! began or [`MAX_BACKOFF`] after it failed, and then discovery is called again whatever came before. A change counts as
//! delivered 6 s after discovery had it and could be reached. The longest way there is a pause, two calls without a response
//! and one with: 2 s, twice 1.5 s, and 0.5 s for the response.
use std::time::{Duration, Instant};

/// How long a call may wait for changes at discovery.
pub(super) const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// A call without a complete response this long after it began is followed by the next: its wait, and time to respond.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after a failed call where the list is pushed: the agent is on this machine and responds at no cost.
const PUSHED_BACKOFF: Duration = Duration::from_millis(500);
/// Pause after a failed call where lists are requested, unless the module subscribes earlier.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// A call that is answered with nothing newer is followed by the next this long after it began at the soonest: discovery
/// may respond without waiting. A watch continues if the next call comes within 200 ms of the last response.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(100);
/// How long an overdue call may go on, from its beginning, while nothing of its response has come.
const OVERDUE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// How long an overdue call may go on between two chunks of its response.
const OVERDUE_READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long an overdue call may go on in all.
const MAX_OVERDUE: Duration = Duration::from_secs(30);

/// One call, numbered in the order in which they begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CallId(u64);

/// How the list is had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// The watch always stands.
    Pushed,
    /// The watch stands once the module has subscribed; a failed call ends the subscription.
    OnRequest,
}

/// What a response says of the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ListUpdate {
    /// The version that it leads to.
    pub version: u64,
    /// Whether it is the full list.
    pub full: bool,
    /// Whether it names any upstream.
    pub changes: bool,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// The module has subscribed to changes.
    Subscribed,
    /// Discovery has another address.
    AddressChanged,
    /// The connection of a call is up.
    Connected(CallId),
    /// Some bytes of a response came.
    Received(CallId),
    /// A complete response came.
    Answered(CallId, ListUpdate),
    /// A call was refused, broke, or brought what cannot be used.
    Failed(CallId, String),
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// Call for changes since a version, or for the full list.
    Call {
        /// Its number.
        id: CallId,
        /// The version that is known.
        since: Option<u64>,
    },
    /// Give a call up and close its connection.
    Abandon(CallId),
    /// Hand the list that has just come to its user.
    Deliver,
    /// Log that a call was not answered in time; whether a part of the response came.
    Overdue {
        /// See there.
        received: bool,
    },
    /// Report that the watch has failed, and why.
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
    fn is_receiving(&self) -> bool {
        matches!(self.stage, Stage::Receiving(_))
    }

    /// Whether a response may still come though it is late. A connection that came up and on which a call for changes
    /// stays without a byte is broken.
    fn may_be_answered(&self) -> bool {
        self.stage != Stage::Waiting || self.since.is_none()
    }

    /// When it is given up once it is overdue.
    fn expires_at(&self) -> Instant {
        match self.stage {
            Stage::Connecting | Stage::Waiting => self.began + OVERDUE_RESPONSE_TIMEOUT,
            Stage::Receiving(last) => (last + OVERDUE_READ_TIMEOUT).min(self.began + MAX_OVERDUE),
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// Nobody has subscribed yet.
    Unsubscribed,
    /// A call stands.
    Calling(Call),
    /// The last call failed, or brought nothing newer too soon.
    BackingOff { until: Instant },
}

/// The watch.
pub(super) struct Watch {
    mode: Mode,
    /// The version of the list that is known.
    version: Option<u64>,
    state: State,
    /// A call that was not answered in time but may be yet; the next one stands beside it.
    overdue: Option<Call>,
    /// Whether the current subscription has had its first response.
    is_informed: bool,
    next_id: u64,
}

impl Watch {
    /// A watch that begins with the version of the list that the balancer already has, if any.
    pub(super) fn new(mode: Mode, version: Option<u64>) -> Watch {
        Watch {
            mode,
            version,
            state: State::Unsubscribed,
            overdue: None,
            is_informed: false,
            next_id: 0,
        }
    }

    /// Begins; a pushed list is watched without a subscription.
    pub(super) fn handle_start(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.mode == Mode::Pushed {
            self.begin_call(now, actions);
        }
    }

    /// When [`Watch::on_timeout`] is due.
    pub(super) fn next_timeout(&self) -> Option<Instant> {
        let call_again = match self.state {
            State::Unsubscribed => None,
            State::Calling(call) => Some(call.began + CALL_TIMEOUT),
            State::BackingOff { until } => Some(until),
        };
        let overdue_expiry = self.overdue.map(|call| call.expires_at());
        call_again.into_iter().chain(overdue_expiry).min()
    }

    /// Does what is due by now.
    pub(super) fn on_timeout(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(call) = self.overdue.take_if(|call| now >= call.expires_at()) {
            actions.push(Action::Abandon(call.id));
        }
        match self.state {
            State::Calling(call) if now >= call.began + CALL_TIMEOUT => {
                actions.push(Action::Overdue {
                    received: call.is_receiving(),
                });
                self.keep_overdue(call, actions);
                self.begin_call(now, actions);
            }
            State::BackingOff { until } if now >= until => self.begin_call(now, actions),
            State::Unsubscribed | State::Calling(_) | State::BackingOff { .. } => {}
        }
    }

    /// Takes what happened. Events of calls that were given up are ignored.
    pub(super) fn handle_event(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Subscribed => self.handle_subscribed(now, actions),
            Event::AddressChanged => self.handle_moved(now, actions),
            Event::Connected(id) => self.set_stage(id, Stage::Waiting),
            Event::Received(id) => self.set_stage(id, Stage::Receiving(now)),
            Event::Answered(id, update) => self.handle_answered(now, id, update, actions),
            Event::Failed(id, error) => self.handle_failed(now, id, error, actions),
        }
    }

    fn handle_subscribed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.is_informed = false;
        // The current call answers the subscription.
        if !matches!(self.state, State::Calling(_)) {
            self.begin_call(now, actions);
        }
    }

    /// The old address reports nothing more, and the new one has not failed yet.
    fn handle_moved(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if let Some(call) = self.overdue.take() {
            actions.push(Action::Abandon(call.id));
        }
        match self.state {
            State::Unsubscribed => return,
            State::Calling(call) => actions.push(Action::Abandon(call.id)),
            State::BackingOff { .. } => {}
        }
        self.begin_call(now, actions);
    }

    fn set_stage(&mut self, id: CallId, stage: Stage) {
        if let State::Calling(call) = &mut self.state {
            if call.id == id {
                call.stage = stage;
            }
        }
        if let Some(call) = self.overdue.as_mut().filter(|call| call.id == id) {
            call.stage = stage;
        }
    }

    fn handle_answered(
        &mut self,
        now: Instant,
        id: CallId,
        update: ListUpdate,
        actions: &mut Vec<Action>,
    ) {
        let (call, is_current) = match (self.state, self.overdue) {
            (State::Calling(call), _) if call.id == id => (call, true),
            (_, Some(call)) if call.id == id => (call, false),
            _ => return,
        };
        let expected = call.since.unwrap_or(0);
        if update.version < expected || (call.since.is_none() && !update.full) {
            let error = format!("version {} does not follow {expected}", update.version);
            return self.handle_failed(now, id, error, actions);
        }
        let newer = self.version.is_none_or(|known| update.version > known);
        // Guards against an overdue response that is older than what came meanwhile.
        if self.version.is_none_or(|known| update.version >= known) {
            self.version = Some(update.version);
            // One event answers the subscription; after that only changes are delivered.
            if !self.is_informed || update.full || update.changes {
                actions.push(Action::Deliver);
            }
            self.is_informed = true;
        }
        match is_current {
            true if !newer && now < call.began + MIN_CALL_INTERVAL => {
                self.state = State::BackingOff {
                    until: call.began + MIN_CALL_INTERVAL,
                };
            }
            true => self.begin_call(now, actions),
            false => self.handle_overdue_answered(now, actions),
        }
    }

    /// The connection of the response has proven itself: the next call goes on it, unless the current one is being
    /// answered.
    fn handle_overdue_answered(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.overdue = None;
        match self.state {
            State::Calling(call) if call.is_receiving() => return,
            State::Calling(call) => actions.push(Action::Abandon(call.id)),
            State::Unsubscribed | State::BackingOff { .. } => {}
        }
        self.begin_call(now, actions);
    }

    fn handle_failed(
        &mut self,
        now: Instant,
        id: CallId,
        error: String,
        actions: &mut Vec<Action>,
    ) {
        // That an overdue call fails is of no interest: the next one has replaced it.
        if self.overdue.take_if(|call| call.id == id).is_some() {
            return;
        }
        if !matches!(self.state, State::Calling(call) if call.id == id) {
            return;
        }
        let backoff = match self.mode {
            Mode::Pushed => PUSHED_BACKOFF,
            Mode::OnRequest => MAX_BACKOFF,
        };
        self.state = State::BackingOff {
            until: now + backoff,
        };
        self.is_informed = false;
        actions.push(Action::Fail(error));
    }

    /// Keeps the call beside the next one if it may still be answered. At most one is kept, and one whose response
    /// is coming goes before one that has none.
    fn keep_overdue(&mut self, call: Call, actions: &mut Vec<Action>) {
        let better = self
            .overdue
            .is_none_or(|other| call.is_receiving() && !other.is_receiving());
        let given_up = match better && call.may_be_answered() {
            true => self.overdue.replace(call),
            false => Some(call),
        };
        actions.extend(given_up.map(|call| Action::Abandon(call.id)));
    }

    fn begin_call(&mut self, now: Instant, actions: &mut Vec<Action>) {
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
