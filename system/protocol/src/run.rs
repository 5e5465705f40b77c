//! Runs of tasks: how they are started and how they complete.
use crate::{RunId, TaskId};
use minicbor::{Decode, Encode};

/// How a run completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum CompletionKind {
    /// It did its work.
    #[n(0)]
    Done,
    /// It failed, by its own fault or that of the worker.
    #[n(1)]
    Failed,
    /// It was stopped by request.
    #[n(2)]
    Stopped,
    /// The worker lease under which it ran expired.
    #[n(3)]
    LeaseExpired,
    /// Another member of its gang ended first.
    #[n(4)]
    GangEnded,
    /// It timed out waiting for the other members of its gang.
    #[n(5)]
    GangTimedOut,
}

/// The completion of a run, as its worker reports it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RunCompletion {
    /// The task.
    #[n(0)]
    pub task: TaskId,
    /// Number of the run among those of its task.
    #[n(1)]
    pub run: RunId,
    /// How it completed.
    #[n(2)]
    pub kind: CompletionKind,
    /// The last checkpoint; empty: none.
    #[n(3)]
    pub checkpoint: String,
}

/// The decision to start a run on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RunStart {
    /// The task.
    #[n(0)]
    pub task: TaskId,
    /// Number of the run among those of its task.
    #[n(1)]
    pub run: RunId,
    /// The worker's incarnation.
    #[n(2)]
    pub incarnation: String,
    /// The checkpoint that it resumes from; empty: none.
    #[n(3)]
    pub checkpoint: String,
}
