//! What happens in a fleet, and who waits for what.
use crate::client::Order;
use magpiegap_distribution::CallId;
use magpiegap_protocol::{CoordinatorRequest, FencingToken, PeerMessage, ReplicaId};
use magpiegap_scheduler::{WorkerCall, WorkerReply};

/// Something that happens at a moment of simulated time.
pub(crate) enum Event {
    Peer {
        to: usize,
        from: ReplicaId,
        message: PeerMessage,
    },
    Synced {
        node: usize,
        life: u64,
        ticket: u64,
    },
    Order {
        worker: usize,
        from: Option<Caller>,
        call: WorkerCall,
    },
    /// A hold that waits for an end.
    Waiting {
        worker: usize,
        from: Caller,
        call: WorkerCall,
        until: u64,
    },
    Reply {
        to: Caller,
        call: u64,
        reply: WorkerReply,
    },
    Platform {
        node: usize,
        life: u64,
        call: u64,
    },
    Restore(Restore),
}

/// What a fault had broken and is whole again.
pub(crate) enum Restore {
    Node {
        from: usize,
        to: usize,
    },
    Worker(usize),
    WorkerCut(usize),
    Disk(usize),
    Orders,
    /// A machine that was told to leave is ended, if it has not ended yet.
    Leaving {
        node: usize,
        life: u64,
    },
}

/// The scheduler that has made a call.
#[derive(Clone)]
pub(crate) struct Caller {
    pub node: usize,
    pub life: u64,
    pub service: String,
    pub token: FencingToken,
}

/// Who waits for an answer.
pub(crate) enum Asker {
    Client(usize, CoordinatorRequest),
    /// An operator; some answers are lost on their way to it.
    Operator {
        number: usize,
        order: Order,
        is_lost: bool,
        at: u64,
    },
    /// The agent of an edge.
    Edge {
        number: usize,
        id: CallId,
    },
    /// Somebody who only looks, and when it asked.
    Observer {
        request: CoordinatorRequest,
        at: u64,
    },
}
