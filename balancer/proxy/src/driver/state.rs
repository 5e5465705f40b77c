//! The driver's state: requests, attempts, timers and upstreams. Owns that state; the sibling modules operate on it.
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
    /// The deadline on the module's clock.
    pub(super) deadline: Millis,
    pub(super) attempts_sent: u32,
    pub(super) attempts_in_flight: u32,
}

impl OpenRequest {
    /// Ends the request, and returns the sender of its final response the first time.
    pub(super) fn end(&mut self) -> Option<oneshot::Sender<FinalResponse>> {
        self.outgoing.has_ended.set(true);
        self.responder.take()
    }

    /// Whether the final response is still pending.
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

/// An upstream that the module may refer to.
pub(super) struct KnownUpstream {
    pub(super) upstream: Rc<Upstream>,
    pub(super) availability: Availability,
    /// The start time of the upstream according to discovery; a different time means a different process.
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
    /// All upstreams that the module may refer to: those listed, and those with attempts in flight.
    pub(super) upstreams: HashMap<UpstreamId, KnownUpstream>,
    pub(super) timers: Timers,
    pub(super) events: VecDeque<Event>,
    /// Whether a non-empty endpoint list has been received.
    pub(super) has_endpoints: bool,
    pub(super) metrics: Option<Metrics>,
    pub(super) recovery: Option<Recovery>,
    /// Set once the program shuts down: the time by which all requests get their final response, on the module's clock.
    pub(super) shutdown_deadline: Option<Millis>,
}

/// The driver, and notifications for the tasks that wait for it.
pub(super) struct Shared {
    pub(super) driver: RefCell<Driver>,
    pub(super) timers_changed: Notify,
    pub(super) subscribe: Notify,
}

/// A handle to the driver. Clones refer to the same driver.
#[derive(Clone)]
pub(crate) struct Handle(pub(super) Rc<Shared>);

impl Driver {
    /// Returns the time on the module's clock.
    pub(super) fn now(&self) -> Millis {
        self.start_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Returns the number of requests without a final response.
    pub(super) fn unanswered(&self) -> usize {
        self.open
            .values()
            .filter(|request| request.is_unanswered())
            .count()
    }
}
