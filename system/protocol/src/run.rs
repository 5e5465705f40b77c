//! Starts and completions of task runs.
use crate::{RunId, TaskId};
use minicbor::{Decode, Encode};

/// How a run completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum CompletionKind {
    /// It succeeded.
    #[n(0)]
    Done,
    /// It failed, because of the task or the worker.
    #[n(1)]
    Failed,
    /// It was stopped on request.
    #[n(2)]
    Stopped,
    /// The worker lease under which it ran expired.
    #[n(3)]
    LeaseExpired,
    /// Another task of its gang ended first.
    #[n(4)]
    GangEnded,
    /// It timed out waiting for the other tasks of its gang.
    #[n(5)]
    GangTimedOut,
}

/// The completion of a run, as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RunCompletion {
    /// The task.
    #[n(0)]
    pub task: TaskId,
    /// Number of the run among the runs of its task.
    #[n(1)]
    pub run: RunId,
    /// How the run completed.
    #[n(2)]
    pub kind: CompletionKind,
    /// The last checkpoint; empty if there is none.
    #[n(3)]
    pub checkpoint: String,
}

/// The decision to start a run on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RunStart {
    /// The task.
    #[n(0)]
    pub task: TaskId,
    /// Number of the run among the runs of its task.
    #[n(1)]
    pub run: RunId,
    /// The worker's incarnation.
    #[n(2)]
    pub incarnation: String,
    /// The checkpoint to resume from; empty if there is none.
    #[n(3)]
    pub checkpoint: String,
}
