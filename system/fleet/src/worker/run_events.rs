//! What a run is to a worker, and the events of runs that its driver sees.
use magpiegap_protocol::{CompletionKind, Resources, RunId, StepSpec, TaskId};

/// The work of a task. The driver supplies it, as a real worker reads it from the task's text.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// What it takes up.
    pub resources: Resources,
    /// How long it takes, in milliseconds.
    pub duration_ms: u64,
    /// How it ends.
    pub kind: CompletionKind,
    /// Whether it checkpoints its progress.
    pub checkpoints: bool,
    /// Whether it works only together with the others of its step.
    pub gang: bool,
}

/// A run that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunCompletion {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub kind: CompletionKind,
}

/// An event of a worker's runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEvent {
    /// A run has started.
    Started {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
        /// The checkpoint that it goes on from; empty: none.
        checkpoint: String,
        /// Whether the worker's runs now take more than its capacity.
        over_capacity: bool,
    },
    /// A run has ended.
    Completed(RunCompletion),
    /// A caller has acknowledged completions before the lease expired.
    Acknowledged(Vec<RunCompletion>),
}

/// The task under whose name checkpoints go: members of a gang share those of the first one.
pub(crate) fn checkpoint_owner(task: TaskId, step: &StepSpec) -> TaskId {
    if step.gang {
        first_of_step(task)
    } else {
        task
    }
}

/// The first task of a task's step, by which the step is named.
pub(crate) fn first_of_step(task: TaskId) -> TaskId {
    TaskId { index: 0, ..task }
}
