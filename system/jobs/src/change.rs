//! What applying an entry results in.
use magpiegap_protocol::{CompletionKind, JobId, Role, RunId, RunStart, TaskId};

/// The result of an entry for whoever proposed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Done,
    /// The same was done before: nothing changed.
    Repeated,
    /// Its fencing token is not the current one: its proposer has lost the role.
    Fenced,
    /// It does not apply to the state as it is.
    Void,
    /// The configuration builds on a version that is not the current one.
    Conflict,
    /// The configuration's version isn't above the current one.
    Stale,
}

/// One change that an entry made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Another configuration is current.
    ConfigurationReplaced,
    /// A role has another holder.
    RoleClaimed(Role),
    /// A job was accepted, has progressed, or has ended.
    JobChanged(JobId),
    /// A run may be active from now on.
    RunStarted(RunStart),
    /// A run is not active any more.
    RunClosed {
        /// Its task.
        task: TaskId,
        /// Its number.
        run: RunId,
        /// The worker's incarnation.
        incarnation: String,
        /// How it completed; `None`: it was lost.
        kind: Option<CompletionKind>,
    },
    /// Completions of a worker were recorded.
    CompletionsRecorded {
        /// The worker's incarnation.
        incarnation: String,
        /// The highest one, by the worker's numbers.
        acknowledged_completion: u64,
    },
    /// A job that had ended was removed.
    JobForgotten(JobId),
}

/// The result of applying an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The result for its proposer.
    pub outcome: Outcome,
    /// All changes, in the order in which they were made.
    pub changes: Vec<Change>,
}
