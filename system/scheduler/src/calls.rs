//! Calls to workers and their replies, as values: what sends them, and how they look on the wire, is not decided here.
use magpiegap_protocol::{Command, CompletionKind, FencingToken, Millis, RunId, TaskId};

/// What a worker is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerOrder {
    /// Starts a run.
    Start {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
        /// The job's text, which the worker takes as it is.
        spec: String,
        /// On the worker's clock: the start is void after it, and the lease on all that runs lasts until then.
        deadline_ms: u64,
        /// The checkpoint to go on from; empty: none.
        checkpoint: String,
    },
    /// Stops a run.
    Stop {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
    },
    /// Renews the lease on all that runs, and lists what runs and what has completed (a long poll).
    RenewLease {
        /// On the worker's clock: when the lease expires; `None`: no later than before.
        deadline_ms: Option<u64>,
        /// Completions up to this number are acknowledged.
        acknowledged_completion: u64,
        /// How long the reply may wait for a completion.
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
    /// The incarnation that is meant.
    pub incarnation: String,
    /// The fencing token of the scheduler's role.
    pub token: FencingToken,
    /// What the worker is to do.
    pub order: WorkerOrder,
    /// How long to wait for the reply.
    pub timeout_ms: Millis,
}

/// Something that a scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Propose a command for the log, in the scheduler's role.
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
    /// The last checkpoint; empty: none.
    pub checkpoint: String,
    /// Its progress in percent.
    pub percent: u64,
}

/// A run that a worker lists as completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedCompletion {
    /// Numbers the completions of this incarnation.
    pub sequence: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// How it completed.
    pub kind: CompletionKind,
    /// The last checkpoint; empty: none.
    pub checkpoint: String,
}

/// What a worker runs and what has completed there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Runs that are running.
    pub running: Vec<ListedRun>,
    /// Runs that have completed, by rising number.
    pub completed: Vec<ListedCompletion>,
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It has seen a higher fencing token.
    StaleToken,
    /// The run isn't above one that has completed there, or was stopped before its start arrived.
    Superseded,
    /// The deadline has passed.
    DeadlinePassed,
    /// There is not enough free capacity.
    NoCapacity,
}

/// The reply to a call, or what stands for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerReply {
    /// It was done.
    Done {
        /// The worker's clock.
        clock_ms: Option<u64>,
        /// For a renewal: what runs and what has completed.
        listing: Option<Listing>,
    },
    /// It was refused, and nothing was done.
    Refused {
        /// The worker's clock.
        clock_ms: Option<u64>,
        /// Why.
        reason: RefusalReason,
    },
    /// Another incarnation replied at that address: the one that was meant is over.
    OtherIncarnation,
    /// The worker is unhealthy and has done nothing.
    Unhealthy,
    /// The worker could not read the call and has done nothing.
    Unreadable,
    /// There was no reply in time: it may have been done, or may be done later.
    TimedOut,
}
