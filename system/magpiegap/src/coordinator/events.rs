//! What happens to a coordinator, and the way for requests into it.
use magpiegap_coordinator::PlatformReply;
use magpiegap_protocol::{
    CoordinatorRequest, CoordinatorResponse, FencingToken, PeerMessage, ReplicaId,
};
use magpiegap_scheduler::WorkerReply;
use tokio::sync::{mpsc::UnboundedSender, oneshot};

/// Something that has happened.
pub(super) enum Event {
    /// Messages from another coordinator.
    Peer {
        from: ReplicaId,
        messages: Vec<PeerMessage>,
    },
    /// A connection to another coordinator's address was refused.
    ConnectionRefused(u32),
    /// Disk work is done.
    Persisted(u64),
    /// Somebody asks.
    Request {
        what: CoordinatorRequest,
        answer: oneshot::Sender<CoordinatorResponse>,
    },
    /// A worker has answered, or has not in time.
    Worker {
        service: String,
        token: FencingToken,
        call: u64,
        reply: WorkerReply,
    },
    /// The platform has answered, or has not in time.
    Platform { call: u64, reply: PlatformReply },
}

/// The way for requests into the coordinator.
#[derive(Clone)]
pub(super) struct Handle {
    events: UnboundedSender<Event>,
}

impl Handle {
    /// Requests go in here.
    pub(super) fn new(events: UnboundedSender<Event>) -> Handle {
        Handle { events }
    }

    /// Asks, and waits for the answer; `None` when the coordinator is ending.
    pub(super) async fn ask(&self, what: CoordinatorRequest) -> Option<CoordinatorResponse> {
        let (answer, answered) = oneshot::channel();
        self.events.send(Event::Request { what, answer }).ok()?;
        answered.await.ok()
    }
}
