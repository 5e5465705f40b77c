//! Simulated events, and the queue that orders them by time. The fleet handles them.
use crate::active_faults::Link;
use magpiegap_protocol::{FencingToken, PeerMessage, ReplicaId};
use magpiegap_scheduler::{WorkerCall, WorkerReply};
use std::collections::BTreeMap;

/// One process of a node; events for an earlier process of the node are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ProcessId {
    pub node: usize,
    /// The node's incarnation when the process started.
    pub incarnation: u64,
}

/// The scheduler that made a call to a worker.
#[derive(Clone)]
pub(crate) struct Caller {
    pub process: ProcessId,
    pub service: String,
    pub token: FencingToken,
}

/// An event that occurs at a point in simulated time.
pub(crate) enum Event {
    /// A peer message reaches a node.
    PeerMessage {
        to: usize,
        from: ReplicaId,
        message: PeerMessage,
    },
    /// A disk has synced all writes up to `ticket`.
    Synced { process: ProcessId, ticket: u64 },
    /// A call reaches a worker. Without a caller, the reply is dropped.
    WorkerCall {
        worker: usize,
        caller: Option<Caller>,
        call: WorkerCall,
    },
    /// A lease renewal that is answered at the next completion or when its long poll times out.
    LongPoll {
        worker: usize,
        caller: Caller,
        call: WorkerCall,
        until: u64,
    },
    /// A worker's reply reaches its caller.
    WorkerReply {
        caller: Caller,
        call: u64,
        reply: WorkerReply,
    },
    /// The platform replies with its list of workers.
    PlatformReply { process: ProcessId, call: u64 },
    /// A fault ends.
    Restore(Restore),
}

/// The component that is restored when a fault ends.
pub(crate) enum Restore {
    /// The link from one node to another.
    Link(Link),
    /// A crashed worker, which restarts as a new incarnation.
    Worker(usize),
    WorkerLink(usize),
    /// A worker whose runs made no progress.
    WorkerProgress(usize),
    /// A worker's new runs no longer fail.
    WorkerRuns(usize),
    DiskSpeed(usize),
    OrderDelay,
    /// The drain timeout of a process: it is stopped if it is still running.
    DrainDeadline(ProcessId),
}

/// Events ordered by time; events at the same time are in the order in which they were scheduled.
#[derive(Default)]
pub(crate) struct EventQueue {
    last_sequence: u64,
    entries: BTreeMap<EventKey, Event>,
}

/// The sort key of an event.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EventKey {
    at: u64,
    sequence: u64,
}

impl EventQueue {
    /// Adds an event at a time in milliseconds.
    pub(crate) fn push(&mut self, at: u64, event: Event) {
        self.last_sequence += 1;
        let key = EventKey {
            at,
            sequence: self.last_sequence,
        };
        self.entries.insert(key, event);
    }

    /// Removes and returns the first event that is due.
    pub(crate) fn pop_due(&mut self, now: u64) -> Option<Event> {
        let first = self.entries.first_entry()?;
        (first.key().at <= now).then(|| first.remove())
    }
}
