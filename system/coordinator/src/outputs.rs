//! What a coordinator wants done.
use magpiegap_control::Output as ControlOutput;
use magpiegap_protocol::{CoordinatorResponse, FencingToken, WorkerEntry};
use magpiegap_scheduler::WorkerCall;

/// Names a request that waits for its answer.
pub type RequestId = u64;

/// Something that a coordinator wants done. Disk work is done in order, and each ticket is answered.
#[derive(Clone, Debug)]
pub enum Output {
    /// What its replica wants done: messages to other coordinators, disk work, lines for the log.
    Control(ControlOutput),
    /// Answer a request.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
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
    /// Ask the platform for a page of its list.
    ListWorkers {
        /// Names the call.
        call: u64,
        /// The page; `None`: the first.
        page: Option<String>,
    },
}

/// The platform's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformReply {
    /// A page of the list.
    Page {
        /// The workers.
        workers: Vec<WorkerEntry>,
        /// The page that follows; `None`: this was the last one.
        next: Option<String>,
    },
    /// Too many calls.
    Limited,
    /// No answer, or one that can't be read.
    Failed,
}
