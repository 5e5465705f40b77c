//! Events of the coordinator process, and the handle for sending requests to it.
use magpiegap_coordinator::PlatformReply;
use magpiegap_protocol::{
    CoordinatorRequest, CoordinatorResponse, FencingToken, PeerMessage, ReplicaId,
};
use magpiegap_scheduler::WorkerReply;
use tokio::sync::{mpsc::UnboundedSender, oneshot};

/// An input of the state machine.
pub(super) enum Event {
    /// Messages were received from another coordinator.
    PeerMessages {
        from: ReplicaId,
        messages: Vec<PeerMessage>,
    },
    /// A connection to another coordinator's address was refused.
    ConnectionRefused(u32),
    /// Disk work up to this ticket is complete.
    Persisted(u64),
    /// A request was received.
    Request {
        request: CoordinatorRequest,
        /// Channel for the response.
        response: oneshot::Sender<CoordinatorResponse>,
    },
    /// A call to a worker has ended, with a reply or a timeout.
    WorkerReply {
        service: String,
        token: FencingToken,
        call: u64,
        reply: WorkerReply,
    },
    /// A call to the platform has ended, with a reply or a failure.
    PlatformReply { call: u64, reply: PlatformReply },
}

/// Sends requests to the coordinator's state machine.
#[derive(Clone)]
pub(super) struct RequestHandle {
    events: UnboundedSender<Event>,
}

impl RequestHandle {
    /// Creates a handle that sends requests over `events`.
    pub(super) fn new(events: UnboundedSender<Event>) -> RequestHandle {
        RequestHandle { events }
    }

    /// Sends a request and waits for the response; `None` if the coordinator is shutting down.
    pub(super) async fn request(&self, request: CoordinatorRequest) -> Option<CoordinatorResponse> {
        let (response, receiver) = oneshot::channel();
        let event = Event::Request { request, response };
        self.events.send(event).ok()?;
        receiver.await.ok()
    }
}
