//! Carries out the actions of the watch and delivers lists to their user. Owns the calls in flight and the idle
//! connection between two calls; decides nothing.
use super::call::{Call, CallReport, Connection};
use super::watch::{Action, CallId, Event, ListUpdate, Mode, Watch};
use crate::listing::{ListUser, Listing, Names};
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch::Receiver;
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant};

/// Keeps the endpoint list up to date: serves the module's subscriptions and maintains the watch.
pub(crate) struct Discovery {
    /// The address of discovery, which a reload may change.
    addr: Receiver<SocketAddr>,
    version: Option<u64>,
    calls: Calls,
    reports: UnboundedReceiver<CallReport>,
}

/// A call in flight.
struct RunningCall {
    id: CallId,
    task: AbortHandle,
}

/// The calls in flight.
struct Calls {
    names: Rc<Names>,
    running: Vec<RunningCall>,
    /// An idle connection.
    idle: Option<Connection>,
    reports: UnboundedSender<CallReport>,
}

impl Calls {
    fn begin(&mut self, id: CallId, since: Option<u64>, addr: SocketAddr) {
        let call = Call {
            id,
            since,
            addr,
            reusable: self.idle.take(),
            names: self.names.clone(),
        };
        let task = tokio::task::spawn_local(call.run(self.reports.clone()));
        self.running.push(RunningCall {
            id,
            task: task.abort_handle(),
        });
    }

    /// Stops a call, which closes its connection.
    fn abandon(&mut self, id: CallId) {
        for call in self.running.iter().filter(|call| call.id == id) {
            call.task.abort();
        }
        self.end(id);
    }

    fn end(&mut self, id: CallId) {
        self.running.retain(|call| call.id != id);
    }

    fn is_running(&self, id: CallId) -> bool {
        self.running.iter().any(|call| call.id == id)
    }
}

/// Why a wait ended.
enum Wakeup {
    AddressChanged,
    Report(CallReport),
    Subscribed,
    Timeout,
}

/// The actions to take after a wakeup.
#[derive(Default)]
struct Step {
    actions: Vec<Action>,
    /// The received list, for [`Action::Deliver`].
    listing: Option<Listing>,
}

impl Discovery {
    /// Creates the watch with the version of the list that the balancer already has, if any.
    pub(crate) fn new(addr: Receiver<SocketAddr>, names: Names, version: Option<u64>) -> Discovery {
        let (sender, reports) = unbounded_channel();
        let calls = Calls {
            names: Rc::new(names),
            running: Vec::new(),
            idle: None,
            reports: sender,
        };
        Discovery {
            addr,
            version,
            calls,
            reports,
        }
    }

    /// Runs the watch forever.
    pub(crate) async fn run(mut self, user: impl ListUser, mode: Mode) {
        let mut watch = Watch::new(mode, self.version);
        let mut first = Step::default();
        watch.handle_start(Instant::now().into_std(), &mut first.actions);
        self.perform(first, &user);
        loop {
            let timeout = watch.next_timeout().map(Instant::from_std);
            let wakeup = self.next_wakeup(&user, timeout).await;
            let step = self.handle_wakeup(&mut watch, wakeup);
            self.perform(step, &user);
        }
    }

    /// Waits for the next event. Events take precedence over timeouts: a call with a response is not overdue.
    async fn next_wakeup(&mut self, user: &impl ListUser, timeout: Option<Instant>) -> Wakeup {
        let timeout = async {
            match timeout {
                Some(at) => sleep_until(at).await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            Ok(()) = self.addr.changed() => Wakeup::AddressChanged,
            Some(report) = self.reports.recv() => Wakeup::Report(report),
            () = user.subscribed() => Wakeup::Subscribed,
            () = timeout => Wakeup::Timeout,
        }
    }

    fn handle_wakeup(&mut self, watch: &mut Watch, wakeup: Wakeup) -> Step {
        let now = Instant::now().into_std();
        let mut step = Step::default();
        match wakeup {
            Wakeup::Timeout => watch.on_timeout(now, &mut step.actions),
            Wakeup::Subscribed => {
                watch.handle_event(now, Event::Subscribed, &mut step.actions);
            }
            Wakeup::AddressChanged => {
                self.calls.idle = None;
                watch.handle_event(now, Event::AddressChanged, &mut step.actions);
            }
            Wakeup::Report(report) => {
                if let Some(event) = self.event(report, &mut step.listing) {
                    watch.handle_event(now, event, &mut step.actions);
                }
            }
        }
        // Handles due timeouts even under a constant flow of events.
        if watch.next_timeout().is_some_and(|at| now >= at) {
            watch.on_timeout(now, &mut step.actions);
        }
        step
    }

    /// Converts a report to an event of the watch. Returns `None` for a response to an abandoned call, possibly from an
    /// earlier address.
    fn event(&mut self, report: CallReport, listing: &mut Option<Listing>) -> Option<Event> {
        match report {
            CallReport::Event(event) => {
                if let Event::Failed(id, _) = event {
                    self.calls.end(id);
                }
                Some(event)
            }
            CallReport::Answered(id, answered, connection) => {
                if !self.calls.is_running(id) {
                    return None;
                }
                self.calls.end(id);
                self.calls.idle = Some(connection);
                let update = ListUpdate {
                    version: answered.version,
                    full: answered.full,
                    changes: !answered.entries.is_empty(),
                };
                *listing = Some(answered);
                Some(Event::Answered(id, update))
            }
        }
    }

    fn perform(&mut self, step: Step, user: &impl ListUser) {
        for action in step.actions {
            match action {
                Action::Call { id, since } => self.calls.begin(id, since, *self.addr.borrow()),
                Action::Abandon(id) => self.calls.abandon(id),
                Action::Deliver => {
                    if let Some(listing) = &step.listing {
                        user.handle_list(listing);
                    }
                }
                Action::Overdue { received } => log_overdue(received),
                Action::Fail(error) => {
                    self.calls.idle = None;
                    tracing::info!(target: "discovery", event = "discovery_failed", error, "discovery: {error}");
                    user.handle_list_failure();
                }
            }
        }
    }
}

fn log_overdue(received: bool) {
    let error = if received {
        "no complete response in time"
    } else {
        "no response in time"
    };
    tracing::info!(target: "discovery", event = "discovery_silent", error, "discovery: {error}");
}
