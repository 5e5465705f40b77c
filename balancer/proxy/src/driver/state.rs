//! All that the driver holds: requests, attempts, timers, and what it knows of upstreams. Owns that state; what is done
//! with it stands in the modules beside.
pub(super) use super::timers::AttemptId;
use super::timers::{TimerKey, Timers};
use crate::message::{FinalResponse, OutgoingRequest};
use crate::metrics::Metrics;
use crate::recovery::Recovery;
use crate::upstreams::{Transport, Upstream};
use balancer_core::{Availability, Balancer, Event, Millis, RequestId, UpstreamId};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A request that has no final response, or still has attempts in flight.
pub(super) struct OpenRequest {
    /// Taken when the final response is given or the client has disconnected.
    pub(super) responder: Option<oneshot::Sender<FinalResponse>>,
    pub(super) outgoing: Rc<OutgoingRequest>,
    /// When it was received, if its duration is measured.
    pub(super) received_at: Option<Instant>,
    /// On the module's clock.
    pub(super) deadline: Millis,
    pub(super) attempts_sent: u32,
    pub(super) attempts_in_flight: u32,
}

impl OpenRequest {
    /// Ends the request and returns the way to its client, once.
    pub(super) fn end(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.outgoing.has_ended.set(true);
        self.responder.take()
    }

    /// Whether the final response is still owed.
    pub(super) fn is_unanswered(&self) -> bool {
        self.responder.is_some()
    }
}

/// An attempt in flight.
pub(super) struct Attempt {
    pub(super) upstream: UpstreamId,
    pub(super) sent_at: Instant,
    pub(super) task: AbortHandle,
    pub(super) timeout: TimerKey,
}

/// An upstream that the module may name.
pub(super) struct KnownUpstream {
    pub(super) upstream: Rc<Upstream>,
    pub(super) availability: Availability,
    /// When the upstream started, by discovery; another time is another process.
    pub(super) started_ms: Millis,
}

/// The driver's state.
pub(super) struct Driver {
    pub(super) balancer: Balancer,
    pub(super) start: Instant,
    pub(super) start_ms: Millis,
    pub(super) transport: Transport,
    pub(super) max_open: usize,
    pub(super) next_id: u32,
    pub(super) open: HashMap<RequestId, OpenRequest>,
    pub(super) attempts: HashMap<AttemptId, Attempt>,
    /// Every upstream that the module may name: those listed, and those with attempts in flight.
    pub(super) upstreams: HashMap<UpstreamId, KnownUpstream>,
    pub(super) timers: Timers,
    pub(super) events: VecDeque<Event>,
    /// Whether any endpoint list with an entry has come.
    pub(super) has_endpoints: bool,
    pub(super) metrics: Option<Metrics>,
    pub(super) recovery: Option<Recovery>,
    /// Set once the program shuts down: what is open or comes has its final response by then, on the module's clock.
    pub(super) shutdown_deadline: Option<Millis>,
}

/// The driver, and how to wake what waits for it.
pub(super) struct Shared {
    pub(super) driver: RefCell<Driver>,
    pub(super) timers_changed: Notify,
    pub(super) subscribe: Notify,
}

/// The driver as everything else sees it. Clones are the same driver.
#[derive(Clone)]
pub(crate) struct Handle(pub(super) Rc<Shared>);

impl Driver {
    /// Returns the time on the module's clock.
    pub(super) fn now(&self) -> Millis {
        self.start_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Returns how many requests have no final response.
    pub(super) fn unanswered(&self) -> usize {
        self.open
            .values()
            .filter(|request| request.is_unanswered())
            .count()
    }
}
