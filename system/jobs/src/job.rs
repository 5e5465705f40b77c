//! State of one job: its occurrences, steps, tasks and runs.
//!
//! The `apply` modules call into this module and update the parts of the state outside the job.
use magpiegap_protocol::{
    CompletionKind, JobPhase, RunCompletion, RunId, StepSpec, Submission, TaskId, WallMillis,
};
use minicbor::{Decode, Encode};
use std::collections::BTreeMap;

/// A run recorded as started and not yet closed. It may still be executing on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ActiveRun {
    /// Run number, unique within the task.
    #[n(0)]
    pub run: RunId,
    /// Incarnation of the worker that executes the run.
    #[n(1)]
    pub incarnation: String,
    /// Checkpoint from which the run resumes; empty if it starts from the beginning.
    #[n(2)]
    pub checkpoint: String,
}

/// The state of one task.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct TaskState {
    /// Whether the task has completed successfully.
    #[n(0)]
    pub done: bool,
    /// Highest run number used so far; zero if the task has never been started.
    #[n(1)]
    pub last_run: RunId,
    /// Number of failed runs.
    #[n(2)]
    pub failures: u32,
    /// Latest reported checkpoint; empty if there is none.
    #[n(3)]
    pub checkpoint: String,
    /// Runs recorded as started and not yet closed.
    #[n(4)]
    pub active_runs: Vec<ActiveRun>,
}

/// Failed runs of a gang. Several members may report the failure of the same run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct GangFailures {
    /// Number of distinct failed runs.
    #[n(0)]
    pub count: u32,
    /// Highest failed run number.
    #[n(1)]
    pub last_run: RunId,
}

/// The state of one step within one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct StepState {
    /// The step's tasks, by index.
    #[n(0)]
    pub tasks: Vec<TaskState>,
    /// Number of tasks that are done.
    #[n(1)]
    pub done: u32,
    /// Failed runs of the gang; unused for steps that are not gangs.
    #[n(2)]
    pub gang_failures: GangFailures,
}

impl StepState {
    /// Returns whether all tasks of the step are done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Records the completion of a run. For a failed run, returns the total number of failed runs of the task or gang;
    /// otherwise returns zero.
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
                // Gang members end together, so the completion of one completes all of them.
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

    /// Counts a failed gang run once, regardless of how many members report it. Returns the total number of failed
    /// runs.
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

/// Properties of a step that determine how completions are counted.
#[derive(Clone, Copy)]
pub(crate) struct StepKind {
    /// All tasks of the step start and end together.
    pub(crate) gang: bool,
    /// Tasks of the job are restarted whenever they end.
    pub(crate) long_running: bool,
}

/// The state of one occurrence of a job.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct OccurrenceState {
    /// Steps in the order of the job specification.
    #[n(0)]
    pub steps: Vec<StepState>,
}

impl OccurrenceState {
    /// Returns whether all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// Returns whether any task of the occurrence has an active run.
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
    /// The submission. Its steps and specification text are dropped once the job has ended and has no active runs.
    #[n(0)]
    pub submission: Submission,
    /// The phase reported to clients.
    #[n(1)]
    pub phase: JobPhase,
    /// Opened occurrences that have not been pruned, by number.
    #[n(2)]
    pub occurrences: BTreeMap<u32, OccurrenceState>,
    /// Number of the next occurrence to open.
    #[n(3)]
    pub next_occurrence: u32,
    /// Number of completed occurrences that have been pruned.
    #[n(4)]
    pub occurrences_done: u32,
    /// End time as stamped by the head of the chain; zero if the job has not ended.
    #[n(5)]
    pub completed_ms: WallMillis,
}

impl Job {
    /// Creates a newly accepted job. A job without a schedule has a single occurrence, which is opened immediately.
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

    /// Opens an occurrence. Returns `false` without any change unless it is the next one of a job that has not ended.
    pub fn open_occurrence(&mut self, occurrence: u32) -> bool {
        if occurrence != self.next_occurrence
            || occurrence >= self.submission.spec.occurrences()
            || self.phase.is_terminal()
        {
            return false;
        }
        let initial_state = |step: &StepSpec| StepState {
            tasks: vec![TaskState::default(); step.count as usize],
            ..StepState::default()
        };
        let steps = self
            .submission
            .spec
            .steps
            .iter()
            .map(initial_state)
            .collect();
        self.occurrences
            .insert(occurrence, OccurrenceState { steps });
        self.next_occurrence += 1;
        true
    }

    /// Returns the state of a task.
    pub fn task(&self, task: &TaskId) -> Option<&TaskState> {
        let occurrence = self.occurrences.get(&task.occurrence)?;
        let step = occurrence.steps.get(task.step as usize)?;
        step.tasks.get(task.index as usize)
    }

    /// Returns the specification of the step to which a task belongs.
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

    /// Returns whether any task of the job has an active run.
    pub fn has_active_runs(&self) -> bool {
        self.occurrences
            .values()
            .any(OccurrenceState::has_active_runs)
    }

    /// Moves the job to a terminal phase and records the end time.
    pub(crate) fn end(&mut self, phase: JobPhase, wall_ms: WallMillis) {
        self.phase = phase;
        // Zero is reserved for jobs that have not ended.
        self.completed_ms = wall_ms.max(WallMillis(1));
    }

    /// Drops completed occurrences, or all occurrences and the specification if the job has ended. An occurrence with
    /// active runs is retained, and an ended job with active runs is not pruned.
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
