//! Events of simulated time, and the queue that holds them until they are due. Handling them is the fleet's.
use crate::active_faults::Link;
use magpiegap_protocol::{FencingToken, PeerMessage, ReplicaId};
use magpiegap_scheduler::{WorkerCall, WorkerReply};
use std::collections::BTreeMap;

/// One process of a core machine; events that are meant for an earlier process are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ProcessId {
    pub node: usize,
    /// Counts the starts and stops of the machine's process.
    pub incarnation: u64,
}

/// The scheduler that has made a call to a worker.
#[derive(Clone)]
pub(crate) struct Caller {
    pub process: ProcessId,
    pub service: String,
    pub token: FencingToken,
}

/// Something that happens at a moment of simulated time.
pub(crate) enum Event {
    /// A message reaches a core machine.
    PeerMessage {
        to: usize,
        from: ReplicaId,
        message: PeerMessage,
    },
    /// A disk has synced all writes up to a ticket.
    Synced { process: ProcessId, ticket: u64 },
    /// A call reaches a worker; without a caller nobody waits for the reply any more.
    WorkerCall {
        worker: usize,
        caller: Option<Caller>,
        call: WorkerCall,
    },
    /// A lease renewal that is answered at the next completion, or at the end of its long poll.
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
    /// The platform answers with its list of workers.
    PlatformReply { process: ProcessId, call: u64 },
    /// A fault is over.
    Restore(Restore),
}

/// What a fault had broken and is restored.
pub(crate) enum Restore {
    /// The link from one core machine to another.
    Link(Link),
    /// A worker that had crashed; it comes back as another incarnation.
    Worker(usize),
    WorkerLink(usize),
    DiskSpeed(usize),
    OrderDelay,
    /// A process that was told to drain is ended, if it has not ended yet.
    DrainDeadline(ProcessId),
}

/// Events in the order of their times; those of the same time in the order in which they were scheduled.
#[derive(Default)]
pub(crate) struct EventQueue {
    last_sequence: u64,
    entries: BTreeMap<EventKey, Event>,
}

/// The order of events.
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

    /// Takes the first event whose time has come.
    pub(crate) fn pop_due(&mut self, now: u64) -> Option<Event> {
        let first = self.entries.first_entry()?;
        (first.key().at <= now).then(|| first.remove())
    }
}
