//! Calls to workers and their answers.
use magpiegap_protocol::{Command, CompletionKind, FencingToken, Millis, RunId, TaskId};

/// What a worker is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerOrder {
    /// Start a run.
    Start {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
        /// The job's text.
        spec: String,
        /// On the worker's clock: the start is void after it, and all that runs is held until then.
        deadline_ms: u64,
        /// The checkpoint to go on from; empty: none.
        checkpoint: String,
    },
    /// Stop a run.
    Stop {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
    },
    /// Hold what runs, and tell what runs and what has ended.
    Hold {
        /// On the worker's clock: until when to hold; `None`: no longer than before.
        deadline_ms: Option<u64>,
        /// Ends up to this number may be forgotten.
        last_seen: u64,
        /// How long the answer may wait for an end.
        wait_ms: u64,
    },
}

/// One call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerCall {
    /// Names the call.
    pub id: u64,
    /// Where to.
    pub address: String,
    /// The life that is meant.
    pub incarnation: String,
    /// The fencing token.
    pub token: FencingToken,
    /// What it is told.
    pub order: WorkerOrder,
    /// How long to wait for the answer.
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

/// A run that a worker has listed as going on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// The last checkpoint; empty: none.
    pub checkpoint: String,
    /// How much of it is done, in hundredths.
    pub percent: u64,
}

/// A run that a worker has listed as ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedCompletion {
    /// Counts the ends of this life.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub kind: CompletionKind,
    /// The last checkpoint; empty: none.
    pub checkpoint: String,
}

/// What a worker runs and what has ended there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Runs going on.
    pub running: Vec<ListedRun>,
    /// Runs that have ended, by rising number.
    pub ended: Vec<ListedCompletion>,
}

/// Why a worker turned a start down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It has seen a higher fencing token.
    RoleToken,
    /// The run isn't above one that has ended there, or was stopped before it came.
    Old,
    /// The deadline has passed.
    Late,
    /// There is no room.
    Room,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerReply {
    /// It was done.
    Done {
        /// The worker's clock.
        clock_ms: Option<u64>,
        /// For a hold: what runs and what has ended.
        listing: Option<Listing>,
    },
    /// It was turned down, and nothing was done.
    Refused {
        /// The worker's clock.
        clock_ms: Option<u64>,
        /// Why.
        reason: RefusalReason,
    },
    /// Another life answers at that address: the one that was meant is over.
    OtherLife,
    /// The worker isn't well and has done nothing.
    Unhealthy,
    /// The worker could not make sense of the call and has done nothing.
    Rejected,
    /// There was no answer: it may have been done, or may be done later.
    Unanswered,
}
