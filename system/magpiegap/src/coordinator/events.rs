//! What happens to a coordinator, and the way for requests into it.
use magpiegap_coordinator::PlatformReply;
use magpiegap_protocol::{CoordinatorAnswer, CoordinatorRequest, PeerMessage, Replica};
use magpiegap_scheduler::WorkerReply;
use tokio::sync::{mpsc::UnboundedSender, oneshot};

/// Something that has happened.
pub enum Event {
    /// Messages from another coordinator.
    Peer {
        from: Replica,
        messages: Vec<PeerMessage>,
    },
    /// A connection to another coordinator's address was refused.
    ConnectionRefused(u32),
    /// Disk work is done.
    Persisted(u64),
    /// Somebody asks.
    Request {
        what: CoordinatorRequest,
        answer: oneshot::Sender<CoordinatorAnswer>,
    },
    /// A worker has answered, or has not in time.
    Worker {
        service: String,
        token: u64,
        call: u64,
        reply: WorkerReply,
    },
    /// The platform has answered, or has not in time.
    Platform { call: u64, reply: PlatformReply },
}

/// The way for requests into the coordinator.
#[derive(Clone)]
pub struct Handle {
    events: UnboundedSender<Event>,
}

impl Handle {
    /// Requests go in here.
    pub fn new(events: UnboundedSender<Event>) -> Handle {
        Handle { events }
    }

    /// Asks, and waits for the answer; `None` when the coordinator is ending.
    pub async fn ask(&self, what: CoordinatorRequest) -> Option<CoordinatorAnswer> {
        let (answer, answered) = oneshot::channel();
        self.events.send(Event::Request { what, answer }).ok()?;
        answered.await.ok()
    }
}
