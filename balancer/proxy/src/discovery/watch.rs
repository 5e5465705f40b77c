//! Decides when discovery is called: a state machine without I/O that gets the time from its caller. Owns the state of
//! the watch: the version of the list, the current call, and an overdue call that may still be answered.
//!
//! In every state, [`Watch::next_timeout`] is at most [`CALL_TIMEOUT`] after the last call began or [`MAX_BACKOFF`]
//! after it failed; discovery is then called again, regardless of earlier events. A change must be delivered within 6 s
//! of the time when discovery has it and is reachable. The worst case is a backoff, two calls without a response and
//! one with a response: 2 s, twice 1.5 s, and 0.5 s for the response.
use std::time::{Duration, Instant};

/// How long discovery may hold a call while it waits for changes.
pub(super) const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// A call without a complete response after this time is overdue, and the next call begins. Covers the long poll and
/// the time to respond.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Backoff after a failed call in [`Mode::Pushed`]. It is short because the agent runs on the same machine.
const PUSHED_BACKOFF: Duration = Duration::from_millis(500);
/// Backoff after a failed call in [`Mode::OnRequest`], unless the module subscribes earlier.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Minimum time from the start of a call that returned nothing newer to the next call, because discovery may respond
/// without waiting. Discovery continues a watch if the next call arrives within 200 ms of the last response.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum duration of an overdue call, from its start, while no byte of its response has arrived.
const OVERDUE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum time between two chunks of the response to an overdue call.
const OVERDUE_READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum total duration of an overdue call.
const MAX_OVERDUE: Duration = Duration::from_secs(30);

/// Identifies a call. Ids increase in the order in which calls begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct CallId(u64);

/// How the list is obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// The watch is always active.
    Pushed,
    /// The watch is active once the module has subscribed; a failed call ends the subscription.
    OnRequest,
}

/// Summary of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ListUpdate {
    /// The version of the list after this update.
    pub version: u64,
    /// Whether this is the full list.
    pub full: bool,
    /// Whether it contains any upstream.
    pub changes: bool,
}

/// An input of the watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// The module has subscribed to changes.
    Subscribed,
    /// The address of discovery has changed.
    AddressChanged,
    /// The connection of a call is established.
    Connected(CallId),
    /// Some bytes of a response arrived.
    Received(CallId),
    /// A complete response arrived.
    Answered(CallId, ListUpdate),
    /// A call failed: connection refused or broken, or unusable response.
    Failed(CallId, String),
}

/// An output of the watch. Actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Action {
    /// Call for changes since a version, or for the full list.
    Call {
        /// The id of the call.
        id: CallId,
        /// The known version.
        since: Option<u64>,
    },
    /// Abort a call and close its connection.
    Abandon(CallId),
    /// Deliver the list that was just received to its user.
    Deliver,
    /// Log that a call is overdue.
    Overdue {
        /// Whether a part of the response arrived.
        received: bool,
    },
    /// Report that the watch failed, with the cause.
    Fail(String),
}

/// The progress of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Connecting,
    Waiting,
    /// With the time of the last received bytes.
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

    /// Whether a late response is still possible. If a long poll gets no byte on an established connection, the
    /// connection is broken.
    fn may_be_answered(&self) -> bool {
        self.stage != Stage::Waiting || self.since.is_none()
    }

    /// Returns when the call is abandoned once it is overdue.
    fn expires_at(&self) -> Instant {
        match self.stage {
            Stage::Connecting | Stage::Waiting => self.began + OVERDUE_RESPONSE_TIMEOUT,
            Stage::Receiving(last) => (last + OVERDUE_READ_TIMEOUT).min(self.began + MAX_OVERDUE),
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// There is no subscription yet.
    Unsubscribed,
    /// A call is in flight.
    Calling(Call),
    /// The last call failed, or returned nothing newer within [`MIN_CALL_INTERVAL`].
    BackingOff { until: Instant },
}

/// The state machine of the watch.
pub(super) struct Watch {
    mode: Mode,
    /// The known version of the list.
    version: Option<u64>,
    state: State,
    /// A call that got no response in time but may still get one; it runs in parallel with the next call.
    overdue: Option<Call>,
    /// Whether the current subscription has had its first response.
    is_informed: bool,
    next_id: u64,
}

impl Watch {
    /// Creates a watch that starts from the version of the list that the balancer already has, if any.
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

    /// Starts the watch; in [`Mode::Pushed`] no subscription is needed.
    pub(super) fn handle_start(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if self.mode == Mode::Pushed {
            self.begin_call(now, actions);
        }
    }

    /// Returns when [`Watch::on_timeout`] is due.
    pub(super) fn next_timeout(&self) -> Option<Instant> {
        let call_again = match self.state {
            State::Unsubscribed => None,
            State::Calling(call) => Some(call.began + CALL_TIMEOUT),
            State::BackingOff { until } => Some(until),
        };
        let overdue_expiry = self.overdue.map(|call| call.expires_at());
        call_again.into_iter().chain(overdue_expiry).min()
    }

    /// Handles all timeouts due at `now`.
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

    /// Handles an event. Events of abandoned calls are ignored.
    pub(super) fn handle_event(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Subscribed => self.handle_subscribed(now, actions),
            Event::AddressChanged => self.handle_address_changed(now, actions),
            Event::Connected(id) => self.set_stage(id, Stage::Waiting),
            Event::Received(id) => self.set_stage(id, Stage::Receiving(now)),
            Event::Answered(id, update) => self.handle_answered(now, id, update, actions),
            Event::Failed(id, error) => self.handle_failed(now, id, error, actions),
        }
    }

    fn handle_subscribed(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.is_informed = false;
        // The response to the current call also answers the subscription.
        if !matches!(self.state, State::Calling(_)) {
            self.begin_call(now, actions);
        }
    }

    /// Abandons the calls to the old address and calls the new one without a backoff.
    fn handle_address_changed(&mut self, now: Instant, actions: &mut Vec<Action>) {
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
        // Ignores an overdue response that is older than the known list.
        if self.version.is_none_or(|known| update.version >= known) {
            self.version = Some(update.version);
            // The first response answers the subscription; after that, only changes are delivered.
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

    /// The connection that delivered the overdue response works, so the next call reuses it, unless the current call is
    /// already receiving its response.
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
        // The failure of an overdue call is irrelevant: the next call has replaced it.
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

    /// Keeps an overdue call in flight if it may still be answered. At most one is kept; a call that is receiving its
    /// response takes precedence over one that is not.
    fn keep_overdue(&mut self, call: Call, actions: &mut Vec<Action>) {
        let takes_precedence = self
            .overdue
            .is_none_or(|other| call.is_receiving() && !other.is_receiving());
        let abandoned = match takes_precedence && call.may_be_answered() {
            true => self.overdue.replace(call),
            false => Some(call),
        };
        actions.extend(abandoned.map(|call| Action::Abandon(call.id)));
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
