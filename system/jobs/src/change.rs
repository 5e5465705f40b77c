//! Results of applying a log entry.
use magpiegap_protocol::{CompletionKind, JobId, Role, RunId, RunStart, TaskId};

/// The result of an entry, as returned to its proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The entry took effect.
    Done,
    /// The entry had already taken effect; nothing changed.
    Repeated,
    /// The fencing token is not current: the proposer no longer holds the role.
    Fenced,
    /// The entry is not valid in the current state; nothing changed.
    NotApplicable,
    /// The base version of the configuration is not the current version.
    Conflict,
    /// The version of the configuration is not higher than the current version.
    Stale,
}

/// A single state change made by an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The current configuration was replaced.
    ConfigurationReplaced,
    /// A role was claimed, possibly by its previous holder.
    RoleClaimed(Role),
    /// A job was accepted, progressed or ended.
    JobChanged(JobId),
    /// A run became active.
    RunStarted(RunStart),
    /// A run is no longer active.
    RunClosed {
        /// The task.
        task: TaskId,
        /// The run number.
        run: RunId,
        /// The worker's incarnation.
        incarnation: String,
        /// How the run completed; `None` if it was lost.
        kind: Option<CompletionKind>,
    },
    /// Completions of a worker were recorded.
    CompletionsRecorded {
        /// The worker's incarnation.
        incarnation: String,
        /// The highest recorded completion number of the worker.
        acknowledged_completion: u64,
    },
    /// An ended job was removed from the state.
    JobRemoved(JobId),
}

/// The result of applying an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The result for the proposer.
    pub outcome: Outcome,
    /// State changes in the order in which they were made.
    pub changes: Vec<Change>,
}
