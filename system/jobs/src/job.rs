//! The state of one job: its occurrences, steps, tasks and runs.
//!
//! Which entries change it, and what else changes with it, is in the `apply` modules.
use magpiegap_protocol::{
    CompletionKind, JobPhase, RunCompletion, RunId, StepSpec, Submission, TaskId, WallMillis,
};
use minicbor::{Decode, Encode};
use std::collections::BTreeMap;

/// A run that may be going on.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ActiveRun {
    /// Number of the run among those of its task.
    #[n(0)]
    pub run: RunId,
    /// The worker's incarnation.
    #[n(1)]
    pub incarnation: String,
    /// The checkpoint that it resumes from; empty: none.
    #[n(2)]
    pub checkpoint: String,
}

/// The state of one task.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct TaskState {
    /// Whether one of its runs has completed with `done`.
    #[n(0)]
    pub done: bool,
    /// The highest run so far; zero: none.
    #[n(1)]
    pub last_run: RunId,
    /// How many of its runs have failed.
    #[n(2)]
    pub failures: u32,
    /// The newest checkpoint that a completion has brought; empty: none.
    #[n(3)]
    pub checkpoint: String,
    /// Runs that may be going on.
    #[n(4)]
    pub active_runs: Vec<ActiveRun>,
}

/// The failed runs of a gang. Several members may report the same run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct GangFailures {
    /// How many there are.
    #[n(0)]
    pub count: u32,
    /// The highest of them.
    #[n(1)]
    pub last_run: RunId,
}

/// The state of one step in one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct StepState {
    /// Its tasks, by index.
    #[n(0)]
    pub tasks: Vec<TaskState>,
    /// How many of the tasks are done.
    #[n(1)]
    pub done: u32,
    /// For a gang: its failed runs.
    #[n(2)]
    pub gang_failures: GangFailures,
}

impl StepState {
    /// Whether all of its tasks are done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Records the completion of a run. Returns how many runs of its task, or of the gang, have failed so far if this one
    /// has; else zero.
    pub(crate) fn record_completion(&mut self, completion: &RunCompletion, kind: StepKind) -> u32 {
        let index = completion.task.index as usize;
        let Some(task) = self.tasks.get_mut(index) else {
            return 0;
        };
        if !completion.checkpoint.is_empty() {
            task.checkpoint = completion.checkpoint.clone();
        }
        match completion.kind {
            CompletionKind::Done if kind.long_running => 0,
            CompletionKind::Done if kind.gang => {
                // The members of a gang end together: the completion of one counts for all.
                self.tasks.iter_mut().for_each(|task| task.done = true);
                self.done = self.tasks.len() as u32;
                0
            }
            CompletionKind::Done => {
                self.done += u32::from(!task.done);
                task.done = true;
                0
            }
            CompletionKind::Failed if kind.gang => self.record_gang_failure(completion.run),
            CompletionKind::Failed => {
                task.failures += 1;
                task.failures
            }
            CompletionKind::Stopped
            | CompletionKind::LeaseExpired
            | CompletionKind::GangEnded
            | CompletionKind::GangTimedOut => 0,
        }
    }

    /// Counts a failed run of a gang once, however many members report it. Returns how many have failed so far.
    fn record_gang_failure(&mut self, run: RunId) -> u32 {
        let GangFailures { count, last_run } = self.gang_failures;
        if last_run < run {
            self.gang_failures = GangFailures {
                count: count + 1,
                last_run: run,
            };
        }
        self.gang_failures.count
    }
}

/// What decides how a completion counts for its step.
#[derive(Clone, Copy)]
pub(crate) struct StepKind {
    /// All tasks run, and end, together.
    pub(crate) gang: bool,
    /// Tasks of the job are started again whenever they end.
    pub(crate) long_running: bool,
}

/// The state of one occurrence of a job.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct OccurrenceState {
    /// Its steps, in the order of the specification.
    #[n(0)]
    pub steps: Vec<StepState>,
}

impl OccurrenceState {
    /// Whether all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// Whether any run may be going on.
    pub fn has_active_runs(&self) -> bool {
        self.steps
            .iter()
            .flat_map(|step| &step.tasks)
            .any(|task| !task.active_runs.is_empty())
    }
}

/// The state of one job.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Job {
    /// What was submitted. Its steps and text are dropped once the job has ended and no run is active.
    #[n(0)]
    pub submission: Submission,
    /// The phase that its client sees.
    #[n(1)]
    pub phase: JobPhase,
    /// The occurrences that have been opened and not been pruned, by number.
    #[n(2)]
    pub occurrences: BTreeMap<u32, OccurrenceState>,
    /// Number of the next occurrence to open.
    #[n(3)]
    pub next_occurrence: u32,
    /// How many occurrences were done and have been pruned.
    #[n(4)]
    pub occurrences_done: u32,
    /// When it ended, by the time of day of the chain's head; zero: it has not.
    #[n(5)]
    pub completed_ms: WallMillis,
}

impl Job {
    /// A job that was just accepted. The only occurrence of a job without a schedule is opened at once.
    pub fn new(submission: Submission) -> Job {
        let has_schedule = submission.spec.repeat_count > 0;
        let mut job = Job {
            submission,
            phase: JobPhase::Pending,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            occurrences_done: 0,
            completed_ms: WallMillis::default(),
        };
        if !has_schedule {
            job.open_occurrence(0);
        }
        job
    }

    /// Opens the next occurrence. Returns `false`, and does nothing, for any other one and once the job has ended.
    pub fn open_occurrence(&mut self, occurrence: u32) -> bool {
        if occurrence != self.next_occurrence
            || occurrence >= self.submission.spec.occurrences()
            || self.phase.is_terminal()
        {
            return false;
        }
        let untouched = |step: &StepSpec| StepState {
            tasks: vec![TaskState::default(); step.count as usize],
            ..StepState::default()
        };
        let steps = self.submission.spec.steps.iter().map(untouched).collect();
        self.occurrences
            .insert(occurrence, OccurrenceState { steps });
        self.next_occurrence += 1;
        true
    }

    /// The state of a task.
    pub fn task(&self, task: &TaskId) -> Option<&TaskState> {
        let occurrence = self.occurrences.get(&task.occurrence)?;
        let step = occurrence.steps.get(task.step as usize)?;
        step.tasks.get(task.index as usize)
    }

    /// The specification of a task's step.
    pub(crate) fn step_spec(&self, task: &TaskId) -> Option<&StepSpec> {
        self.submission.spec.steps.get(task.step as usize)
    }

    pub(crate) fn step_mut(&mut self, task: &TaskId) -> Option<&mut StepState> {
        let occurrence = self.occurrences.get_mut(&task.occurrence)?;
        occurrence.steps.get_mut(task.step as usize)
    }

    pub(crate) fn task_mut(&mut self, task: &TaskId) -> Option<&mut TaskState> {
        self.step_mut(task)?.tasks.get_mut(task.index as usize)
    }

    /// Whether any run may be going on.
    pub fn has_active_runs(&self) -> bool {
        self.occurrences
            .values()
            .any(OccurrenceState::has_active_runs)
    }

    /// Moves the job to a terminal phase.
    pub(crate) fn end(&mut self, phase: JobPhase, wall_ms: WallMillis) {
        self.phase = phase;
        // Zero stands for a job that has not ended.
        self.completed_ms = wall_ms.max(WallMillis(1));
    }

    /// Drops what can't be needed any more: occurrences that are done, and all steps of a job that has ended. What has an
    /// active run stays.
    pub(crate) fn prune(&mut self) {
        if self.phase.is_terminal() {
            if !self.has_active_runs() {
                self.occurrences.clear();
                self.submission.spec.steps.clear();
                self.submission.spec.spec = String::new();
            }
            return;
        }
        self.occurrences
            .retain(|_, occurrence| !occurrence.is_done() || occurrence.has_active_runs());
    }
}
