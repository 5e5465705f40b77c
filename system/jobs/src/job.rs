//! A job's state: its times, steps, tasks and runs.
use magpiegap_protocol::{
    CompletionKind, JobPhase, RunCompletion, RunId, Submission, TaskId, WallMillis,
};
use minicbor::{Decode, Encode};
use std::collections::BTreeMap;

/// A run that may be going on.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ActiveRun {
    /// The run.
    #[n(0)]
    pub run: RunId,
    /// The worker's life.
    #[n(1)]
    pub incarnation: String,
    /// The checkpoint that it goes on from; empty: none.
    #[n(2)]
    pub checkpoint: String,
}

/// A task's state.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct TaskState {
    /// A run of it has ended `done`.
    #[n(0)]
    pub done: bool,
    /// The highest run so far.
    #[n(1)]
    pub last_run: RunId,
    /// How many of its runs have failed.
    #[n(2)]
    pub failures: u32,
    /// The newest checkpoint that an end has brought; empty: none.
    #[n(3)]
    pub checkpoint: String,
    /// Runs that may be going on.
    #[n(4)]
    pub active: Vec<ActiveRun>,
}

/// A step's state at one time.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct StepState {
    /// Its tasks.
    #[n(0)]
    pub tasks: Vec<TaskState>,
    /// How many of them are done.
    #[n(1)]
    pub done: u32,
    /// For a gang: how many of its runs have failed, and the last of those.
    #[n(2)]
    pub gang_failures: (u32, RunId),
}

impl StepState {
    /// Whether all of its tasks are done.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Takes note of the end of a run. Returns how many runs of its task, or of the gang, have failed so far if this one
    /// has; else zero.
    pub(crate) fn note_end(&mut self, end: &RunCompletion, gang: bool, lasting: bool) -> u32 {
        let Some(task) = self.tasks.get_mut(end.task.index as usize) else {
            return 0;
        };
        if !end.checkpoint.is_empty() {
            task.checkpoint = end.checkpoint.clone();
        }
        match end.kind {
            CompletionKind::Done if lasting => {}
            CompletionKind::Done if gang => {
                // The members of a gang end together: one such end counts for all.
                self.tasks.iter_mut().for_each(|task| task.done = true);
                self.done = self.tasks.len() as u32;
            }
            CompletionKind::Done => {
                self.done += u32::from(!task.done);
                task.done = true;
            }
            CompletionKind::Failed if gang => {
                if self.gang_failures.1 < end.run {
                    self.gang_failures = (self.gang_failures.0 + 1, end.run);
                }
                return self.gang_failures.0;
            }
            CompletionKind::Failed => {
                task.failures += 1;
                return task.failures;
            }
            CompletionKind::Stopped
            | CompletionKind::Lapsed
            | CompletionKind::Broken
            | CompletionKind::Alone => {}
        }
        0
    }
}

/// The steps at one time of a job.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct OccurrenceState {
    /// One for each step.
    #[n(0)]
    pub steps: Vec<StepState>,
}

impl OccurrenceState {
    /// Whether all steps are done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// Whether any run may be going on.
    pub fn has_active(&self) -> bool {
        self.steps
            .iter()
            .flat_map(|step| &step.tasks)
            .any(|task| !task.active.is_empty())
    }
}

/// A job.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Job {
    /// What was submitted. Its steps and text are dropped once nothing of it can run any more.
    #[n(0)]
    pub submission: Submission,
    /// What its client is shown.
    #[n(1)]
    pub phase: JobPhase,
    /// The times that have fallen due and have not been cleared away.
    #[n(2)]
    pub occurrences: BTreeMap<u32, OccurrenceState>,
    /// The next time to fall due.
    #[n(3)]
    pub next_occurrence: u32,
    /// How many times are done.
    #[n(4)]
    pub occurrences_done: u32,
    /// When it ended, by the time of day of the head; zero: it has not.
    #[n(5)]
    pub completed_ms: WallMillis,
}

impl Job {
    /// A job that was just accepted. A job without a schedule is due at once.
    pub fn new(submission: Submission) -> Job {
        let at_once = submission.spec.repeat_count == 0;
        let mut job = Job {
            submission,
            phase: JobPhase::Pending,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            occurrences_done: 0,
            completed_ms: WallMillis::default(),
        };
        if at_once {
            job.open_occurrence(0);
        }
        job
    }

    /// Lets a time fall due; does nothing for any but the next one.
    pub fn open_occurrence(&mut self, occurrence: u32) -> bool {
        if occurrence != self.next_occurrence
            || occurrence >= self.submission.spec.occurrences()
            || self.phase.is_terminal()
        {
            return false;
        }
        let steps = self.submission.spec.steps.iter();
        let steps = steps.map(|step| StepState {
            tasks: vec![TaskState::default(); step.count as usize],
            ..StepState::default()
        });
        self.occurrences.insert(
            occurrence,
            OccurrenceState {
                steps: steps.collect(),
            },
        );
        self.next_occurrence += 1;
        true
    }

    /// A task's state.
    pub fn task(&self, task: &TaskId) -> Option<&TaskState> {
        let step = self
            .occurrences
            .get(&task.occurrence)?
            .steps
            .get(task.step as usize)?;
        step.tasks.get(task.index as usize)
    }

    pub(crate) fn step_mut(&mut self, task: &TaskId) -> Option<&mut StepState> {
        self.occurrences
            .get_mut(&task.occurrence)?
            .steps
            .get_mut(task.step as usize)
    }

    /// Whether any run may be going on.
    pub fn has_active(&self) -> bool {
        self.occurrences.values().any(OccurrenceState::has_active)
    }

    /// Ends the job.
    pub(crate) fn end(&mut self, phase: JobPhase, at: WallMillis) {
        self.phase = phase;
        self.completed_ms = at.max(WallMillis(1));
    }

    /// Drops what can't be needed any more.
    pub(crate) fn clear_away(&mut self) {
        if self.phase.is_terminal() {
            if !self.has_active() {
                self.occurrences.clear();
                self.submission.spec.steps.clear();
                self.submission.spec.spec = String::new();
            }
            return;
        }
        self.occurrences
            .retain(|_, occurrence| !occurrence.is_done() || occurrence.has_active());
    }
}
