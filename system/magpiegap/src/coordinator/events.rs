//! Events of the coordinator's process, and the handle by which requests get into it.
use magpiegap_coordinator::PlatformReply;
use magpiegap_protocol::{
    CoordinatorRequest, CoordinatorResponse, FencingToken, PeerMessage, ReplicaId,
};
use magpiegap_scheduler::WorkerReply;
use tokio::sync::{mpsc::UnboundedSender, oneshot};

/// Something that has happened, for the state machine.
pub(super) enum Event {
    /// Messages have come from another coordinator.
    PeerMessages {
        from: ReplicaId,
        messages: Vec<PeerMessage>,
    },
    /// A connection to another coordinator's address was refused.
    ConnectionRefused(u32),
    /// Disk work is done up to this ticket.
    Persisted(u64),
    /// A request has come.
    Request {
        request: CoordinatorRequest,
        /// Where its response goes.
        response: oneshot::Sender<CoordinatorResponse>,
    },
    /// A worker has replied, or has not in time.
    WorkerReply {
        service: String,
        token: FencingToken,
        call: u64,
        reply: WorkerReply,
    },
    /// The platform has replied, or has not in time.
    PlatformReply { call: u64, reply: PlatformReply },
}

/// Sends requests to the coordinator.
#[derive(Clone)]
pub(super) struct RequestHandle {
    events: UnboundedSender<Event>,
}

impl RequestHandle {
    /// A handle that sends its requests among these events.
    pub(super) fn new(events: UnboundedSender<Event>) -> RequestHandle {
        RequestHandle { events }
    }

    /// Sends a request, and waits for its response; `None` when the coordinator is ending.
    pub(super) async fn request(&self, request: CoordinatorRequest) -> Option<CoordinatorResponse> {
        let (response, responded) = oneshot::channel();
        let event = Event::Request { request, response };
        self.events.send(event).ok()?;
        responded.await.ok()
    }
}
