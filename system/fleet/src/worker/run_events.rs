//! The work of a task, and the run events that a worker reports to its driver.
use magpiegap_protocol::{CompletionKind, Resources, RunId, StepSpec, TaskId};

/// The work of a task. The driver supplies it; a real worker would parse it from the task's specification.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    /// The resources that the task occupies.
    pub resources: Resources,
    /// Duration, in milliseconds.
    pub duration_ms: u64,
    /// How it ends.
    pub kind: CompletionKind,
    /// Whether the task checkpoints its progress.
    pub checkpoints: bool,
    /// Whether the task is a member of a gang, which works only while all tasks of the step run.
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
        /// The checkpoint that the run resumes from; empty if there is none.
        checkpoint: String,
        /// Whether the worker's runs now exceed its capacity.
        over_capacity: bool,
    },
    /// A run has ended.
    Completed(RunCompletion),
    /// A caller has acknowledged completions before the lease expired.
    Acknowledged(Vec<RunCompletion>),
}

/// The task that owns a task's checkpoints: the first task of the step for gang members, otherwise the task itself.
pub(crate) fn checkpoint_owner(task: TaskId, step: &StepSpec) -> TaskId {
    if step.gang {
        first_task_of_step(task)
    } else {
        task
    }
}

/// The first task of a task's step, which identifies the step.
pub(crate) fn first_task_of_step(task: TaskId) -> TaskId {
    TaskId { index: 0, ..task }
}
