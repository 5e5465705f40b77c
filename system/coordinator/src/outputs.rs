//! Outputs of a coordinator: messages, disk work, responses, and calls to workers and the platform.
use magpiegap_control::Output as ControlOutput;
use magpiegap_protocol::{CoordinatorResponse, FencingToken, WorkerEntry};
use magpiegap_scheduler::WorkerCall;

/// Identifies a request that waits for its response.
pub type RequestId = u64;

/// An effect that a coordinator asks for. Disk work is done in order, and each ticket is confirmed.
#[derive(Clone, Debug)]
pub enum Output {
    /// An output of its replica: a message to another coordinator, disk work, a log line.
    Control(ControlOutput),
    /// Respond to a request.
    Answer {
        /// The request.
        request: RequestId,
        /// The response.
        answer: CoordinatorResponse,
    },
    /// Call a worker.
    CallWorker {
        /// The service whose scheduler gets the reply.
        service: String,
        /// The fencing token of that scheduler.
        token: FencingToken,
        /// The call.
        call: WorkerCall,
    },
    /// Request a page of the platform's list.
    ListWorkers {
        /// Identifies the call.
        call: u64,
        /// The page; `None`: the first.
        page: Option<String>,
    },
}

/// The platform's reply to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformReply {
    /// A page of the list.
    Page {
        /// The workers.
        workers: Vec<WorkerEntry>,
        /// The page that follows; `None`: this was the last one.
        next: Option<String>,
    },
    /// The platform limits the rate of calls.
    Limited,
    /// No response in time, or none that can be read.
    Failed,
}
