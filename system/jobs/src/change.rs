//! What applying an entry does.
use magpiegap_protocol::{CompletionKind, JobId, Role, RunId, RunStart, TaskId};

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Done,
    /// The same had been done before.
    Repeated,
    /// Its proposer's role has passed to another.
    Fenced,
    /// It does not apply to the state as it is.
    Void,
    /// The configuration builds on another version than the current one.
    Conflict,
    /// The configuration's version isn't above the current one.
    Stale,
}

/// Something that an entry has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// There is another configuration.
    Configuration,
    /// A role has another holder.
    Role(Role),
    /// A job is there, has moved on, or has ended.
    Job(JobId),
    /// A run may be going on from now on.
    RunOpened(RunStart),
    /// A run is surely not going on any more.
    RunClosed {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
        /// The worker's life.
        incarnation: String,
        /// How it ended; `None`: it was lost.
        kind: Option<CompletionKind>,
    },
    /// Ends of a worker's life were noted up to this number.
    CompletionsRecorded {
        /// The worker's life.
        incarnation: String,
        /// The number.
        last_seen: u64,
    },
    /// A job was forgotten.
    JobForgotten(JobId),
}

/// What applying an entry did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// What became of it.
    pub outcome: Outcome,
    /// All that it changed.
    pub changes: Vec<Change>,
}
