//! All that the driver holds: requests, attempts, timers, and what it knows of upstreams. Owns that state; what is done
//! with it stands in the modules beside.
use crate::figures::Figures;
use crate::message::{Answer, Outgoing};
use crate::recovery::Recovery;
use crate::upstreams::{Transport, Upstream};
use balancer_core::{Availability, Balancer, Event, Millis, RequestId, UpstreamId};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, Notify};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// A request that has no final answer, or has attempts out still.
pub(super) struct Open {
    /// Taken when the final answer is given or the client is gone.
    pub(super) reply: Option<oneshot::Sender<Answer>>,
    pub(super) out: Rc<Outgoing>,
    /// When it was taken, if anybody wants to know how long it takes.
    pub(super) taken: Option<Instant>,
    pub(super) deadline: Millis,
    pub(super) sends: u32,
    pub(super) running: u32,
}

impl Open {
    /// The way to the client, once; the request is over with it.
    pub(super) fn end(&mut self) -> Option<oneshot::Sender<Answer>> {
        self.out.over.set(true);
        self.reply.take()
    }
}

/// An attempt that is out.
pub(super) struct Attempt {
    pub(super) upstream: UpstreamId,
    pub(super) sent: Instant,
    pub(super) task: AbortHandle,
    pub(super) due: (Instant, u64),
}

/// What a timer is for.
pub(super) enum Due {
    Module(u32),
    Attempt(RequestId, u32),
    Sweep,
    Keep,
}

/// What the driver holds.
pub(super) struct Driver {
    pub(super) balancer: Balancer,
    pub(super) start: Instant,
    pub(super) start_ms: Millis,
    pub(super) transport: Transport,
    pub(super) max_open: usize,
    pub(super) next_id: u32,
    pub(super) open: HashMap<RequestId, Open>,
    pub(super) attempts: HashMap<(RequestId, u32), Attempt>,
    /// Every upstream that the module may name: those listed, and those with attempts out.
    pub(super) upstreams: HashMap<UpstreamId, (Rc<Upstream>, Availability, Millis)>,
    pub(super) timers: BTreeMap<(Instant, u64), Due>,
    pub(super) timer_seq: u64,
    /// When a timer last fired late because the program had stood still, and how late.
    pub(super) stall: Option<(Instant, Duration)>,
    pub(super) events: VecDeque<Event>,
    pub(super) listed: bool,
    pub(super) figures: Option<Figures>,
    pub(super) recovery: Option<Recovery>,
    /// Once the program is told to end: what is open or comes has its final answer by then.
    pub(super) ends: Option<Millis>,
}

/// The driver, and how to wake what waits for it.
pub(super) struct Shared {
    pub(super) driver: RefCell<Driver>,
    pub(super) timers: Notify,
    pub(super) subscribe: Notify,
}

/// The driver as everything else sees it.
#[derive(Clone)]
pub(crate) struct Handle(pub(super) Rc<Shared>);

impl Driver {
    /// The module's clock.
    pub(super) fn now(&self) -> Millis {
        self.start_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }
}
