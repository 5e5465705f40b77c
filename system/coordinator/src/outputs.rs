//! Outputs of a coordinator: messages, disk writes, responses, and calls to workers and the platform.
use magpiegap_control::Output as ControlOutput;
use magpiegap_protocol::{CoordinatorResponse, FencingToken, WorkerEntry};
use magpiegap_scheduler::WorkerCall;

/// Identifies a pending request.
pub type RequestId = u64;

/// An effect that the caller must perform. Disk writes are performed in order, and each ticket is confirmed.
#[derive(Clone, Debug)]
pub enum Output {
    /// An output of the replica: a message to another coordinator, a disk write or a log line.
    Control(ControlOutput),
    /// Respond to a request.
    Respond {
        /// The request.
        request: RequestId,
        /// The response.
        response: CoordinatorResponse,
    },
    /// Call a worker.
    CallWorker {
        /// The service whose scheduler handles the reply.
        service: String,
        /// The fencing token of the scheduler.
        token: FencingToken,
        /// The call.
        call: WorkerCall,
    },
    /// Request a page of the platform's worker list.
    ListWorkers {
        /// Identifies the call.
        call: u64,
        /// The page token; `None` for the first page.
        page: Option<String>,
    },
}

/// The platform's reply to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformReply {
    /// A page of the worker list.
    Page {
        /// The workers.
        workers: Vec<WorkerEntry>,
        /// Token of the next page; `None` if this is the last one.
        next: Option<String>,
    },
    /// The platform rejected the call because of its rate limit.
    RateLimited,
    /// The call timed out, or the response was invalid.
    Failed,
}
