//! Carries out what the watch wants, and tells whoever uses the list. Owns the calls that are out and the connection
//! that is free between two calls; decides nothing.
use super::call::{Call, Connection, Notice};
use super::watch::{Action, Answer, CallId, Event, Mode, Watch};
use crate::listing::{ListUser, Listing, Names};
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch::Receiver;
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant};

/// Keeps the list fresh: answers each of the module's subscriptions and keeps a watch that stands.
pub(crate) struct Discovery {
    /// Where discovery is now; a reload may name another address.
    addr: Receiver<SocketAddr>,
    version: Option<u64>,
    calls: Calls,
    notices: UnboundedReceiver<Notice>,
}

/// The calls that are out.
struct Calls {
    names: Rc<Names>,
    running: Vec<(CallId, AbortHandle)>,
    /// A connection that carries no call now.
    free: Option<Connection>,
    tell: UnboundedSender<Notice>,
}

impl Calls {
    fn begin(&mut self, id: CallId, since: Option<u64>, addr: SocketAddr) {
        let call = Call {
            id,
            since,
            addr,
            kept: self.free.take(),
            names: self.names.clone(),
        };
        let task = tokio::task::spawn_local(call.run(self.tell.clone()));
        self.running.push((id, task.abort_handle()));
    }

    /// Stops a call, which closes its connection.
    fn abandon(&mut self, id: CallId) {
        self.running
            .iter()
            .filter(|(running, _)| *running == id)
            .for_each(|(_, task)| task.abort());
        self.ended(id);
    }

    fn ended(&mut self, id: CallId) {
        self.running.retain(|(running, _)| *running != id);
    }

    fn running(&self, id: CallId) -> bool {
        self.running.iter().any(|(running, _)| *running == id)
    }
}

/// What ended a wait.
enum Woken {
    Moved,
    Notice(Notice),
    Subscribed,
    Due,
}

impl Discovery {
    /// Begins with the version of the list that the balancer already has, if any.
    pub(crate) fn new(addr: Receiver<SocketAddr>, names: Names, version: Option<u64>) -> Discovery {
        let (tell, notices) = unbounded_channel();
        let calls = Calls {
            names: Rc::new(names),
            running: Vec::new(),
            free: None,
            tell,
        };
        Discovery {
            addr,
            version,
            calls,
            notices,
        }
    }

    /// Serves subscriptions for ever. With `pushed` the list needs no asking and the watch always stands.
    pub(crate) async fn run(mut self, user: impl ListUser, pushed: bool) {
        let mode = if pushed {
            Mode::Pushed
        } else {
            Mode::OnRequest
        };
        let mut watch = Watch::new(mode, self.version);
        let mut actions = Vec::new();
        watch.start(Instant::now().into_std(), &mut actions);
        self.perform(&mut actions, &user, None);
        loop {
            let woken = self
                .woken(&user, watch.deadline().map(Instant::from_std))
                .await;
            let now = Instant::now().into_std();
            let mut listing = None;
            match woken {
                Woken::Due => watch.handle_timeout(now, &mut actions),
                Woken::Subscribed => watch.handle(now, Event::Subscribed, &mut actions),
                Woken::Moved => {
                    self.calls.free = None;
                    watch.handle(now, Event::Moved, &mut actions);
                }
                Woken::Notice(notice) => {
                    if let Some(event) = self.event(notice, &mut listing) {
                        watch.handle(now, event, &mut actions);
                    }
                }
            }
            // However much comes, what is due is done.
            if watch.deadline().is_some_and(|deadline| now >= deadline) {
                watch.handle_timeout(now, &mut actions);
            }
            self.perform(&mut actions, &user, listing.as_ref());
        }
    }

    /// Waits for whatever comes first. What has come goes before what is due: a call that was answered is not late.
    async fn woken(&mut self, user: &impl ListUser, deadline: Option<Instant>) -> Woken {
        let due = async {
            match deadline {
                Some(deadline) => sleep_until(deadline).await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            Ok(()) = self.addr.changed() => Woken::Moved,
            Some(notice) = self.notices.recv() => Woken::Notice(notice),
            () = user.subscribed() => Woken::Subscribed,
            () = due => Woken::Due,
        }
    }

    /// What the watch is told of a notice. `None`: it is of a call that was given up, maybe at an address that is left.
    fn event(&mut self, notice: Notice, listing: &mut Option<Listing>) -> Option<Event> {
        match notice {
            Notice::Event(event) => {
                if let Event::Failed(id, _) = event {
                    self.calls.ended(id);
                }
                Some(event)
            }
            Notice::Answered(id, answer, connection) => {
                if !self.calls.running(id) {
                    return None;
                }
                self.calls.ended(id);
                self.calls.free = Some(connection);
                let (version, full, changes) =
                    (answer.version, answer.full, !answer.entries.is_empty());
                *listing = Some(answer);
                Some(Event::Answered(
                    id,
                    Answer {
                        version,
                        full,
                        changes,
                    },
                ))
            }
        }
    }

    fn perform(
        &mut self,
        actions: &mut Vec<Action>,
        user: &impl ListUser,
        listing: Option<&Listing>,
    ) {
        for action in actions.drain(..) {
            match action {
                Action::Call { id, since } => self.calls.begin(id, since, *self.addr.borrow()),
                Action::Abandon(id) => self.calls.abandon(id),
                Action::Deliver => listing.into_iter().for_each(|listing| user.listed(listing)),
                Action::Overdue { received } => tell_overdue(received),
                Action::Fail(error) => {
                    self.calls.free = None;
                    tracing::info!(target: "discovery", event = "discovery_failed", error, "discovery: {error}");
                    user.list_failed();
                }
            }
        }
    }
}

fn tell_overdue(received: bool) {
    let error = if received {
        "no whole answer in time"
    } else {
        "no answer in time"
    };
    tracing::info!(target: "discovery", event = "discovery_silent", error, "discovery: {error}");
}
