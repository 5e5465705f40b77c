//! Calls to workers and their replies as plain values, independent of transport and wire format.
use magpiegap_protocol::{Command, CompletionKind, FencingToken, Millis, RunId, TaskId};

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerOrder {
    /// Starts a run.
    Start {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
        /// The job's specification, passed to the worker unchanged.
        spec: String,
        /// On the worker's clock: the start is invalid after this time, and the lease on all runs is extended until
        /// then.
        deadline_ms: u64,
        /// The checkpoint to resume from; empty if there is none.
        checkpoint: String,
    },
    /// Stops a run.
    Stop {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
    },
    /// Renews the lease on all runs and requests a listing of running and completed runs (a long poll).
    RenewLease {
        /// On the worker's clock: when the lease expires; `None` leaves its expiry unchanged.
        deadline_ms: Option<u64>,
        /// Completions up to this number are acknowledged.
        acknowledged_completion: u64,
        /// How long the worker may delay its reply to wait for a completion.
        long_poll_ms: u64,
    },
}

/// One call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerCall {
    /// Identifies the call.
    pub id: u64,
    /// The worker's address.
    pub address: String,
    /// The worker incarnation that the call is addressed to.
    pub incarnation: String,
    /// The fencing token of the scheduler's role.
    pub token: FencingToken,
    /// The order to the worker.
    pub order: WorkerOrder,
    /// How long to wait for the reply.
    pub timeout_ms: Millis,
}

/// An action that the scheduler asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Propose a command for the log under the scheduler's role.
    Propose(Command),
    /// Call a worker.
    Call(WorkerCall),
    /// A line for the operator's log.
    Log(String),
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Its progress in percent.
    pub percent: u64,
}

/// A run that a worker lists as completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedCompletion {
    /// Sequence number among the completions of this incarnation.
    pub sequence: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// How it completed.
    pub kind: CompletionKind,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: String,
}

/// The running and completed runs on a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Running runs.
    pub running: Vec<ListedRun>,
    /// Completed runs in ascending order of sequence number.
    pub completed: Vec<ListedCompletion>,
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It has seen a higher fencing token.
    StaleToken,
    /// A run of the same task with the same or a higher number has completed there, or the run was stopped before its
    /// start arrived.
    Superseded,
    /// The deadline of the order has passed.
    DeadlinePassed,
    /// There is not enough free capacity.
    NoCapacity,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerReply {
    /// The order was carried out.
    Done {
        /// The worker's clock.
        clock_ms: Option<u64>,
        /// For a renewal: the running and completed runs.
        listing: Option<Listing>,
    },
    /// The order was refused and had no effect.
    Refused {
        /// The worker's clock.
        clock_ms: Option<u64>,
        /// The reason for the refusal.
        reason: RefusalReason,
    },
    /// Another incarnation replied at the address; the addressed incarnation has ended.
    OtherIncarnation,
    /// The worker reported that it is unhealthy; the order had no effect.
    Unhealthy,
    /// The worker could not parse the call; the order had no effect.
    Malformed,
    /// No reply within the timeout; the order may have taken effect or may still do so.
    TimedOut,
}
