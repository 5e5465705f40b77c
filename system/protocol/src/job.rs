//! The specification of a job, as its client submits it, and its validation.
use crate::{Resources, WallMillis};
use minicbor::{Decode, Encode};

/// Maximum length of `spec`, in bytes.
pub const MAX_SPEC_BYTES: usize = 4000;
/// Maximum number of tasks in one occurrence of a job, over all steps.
pub const MAX_TASKS_PER_JOB: u64 = 20_000;
/// Maximum of each resource that a task requests (thousandths of a core, megabytes, graphics processors) and of its
/// estimated duration in milliseconds. No worker is that large, and sums over all tasks of a job can't overflow.
pub const MAX_AMOUNT: u64 = 1_000_000_000_000;

/// One step of a job: a number of tasks of the same kind.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct StepSpec {
    /// Number of tasks.
    #[n(0)]
    pub count: u32,
    /// Resources of each task.
    #[n(1)]
    pub resources: Resources,
    /// The client's estimate of a task's duration, in milliseconds; zero if there is none.
    #[n(2)]
    pub estimated_ms: u64,
    /// Positions of the earlier steps that must complete first.
    #[n(3)]
    pub depends_on: Vec<u32>,
    /// Whether the tasks checkpoint their progress.
    #[n(4)]
    pub checkpoints: bool,
    /// Whether the tasks are gang-scheduled: all run at the same time, or none.
    #[n(5)]
    pub gang: bool,
    /// Whether the tasks run slower when spread over several racks.
    #[n(6)]
    pub rack_local: bool,
    /// Labels that the worker must have.
    #[n(7)]
    pub requirements: Vec<String>,
    /// The rack that holds the data.
    #[n(8)]
    pub affinity: Option<String>,
    /// Maximum number of tasks of the step on one worker; zero for no limit.
    #[n(9)]
    pub anti_affinity: u32,
    /// Whether several runs of a task may be active at the same time.
    #[n(10)]
    pub allow_duplicate: bool,
}

impl StepSpec {
    /// JSON field name of the first amount that exceeds [`MAX_AMOUNT`]; `None` if all are within it.
    fn too_large_amount(&self) -> Option<&'static str> {
        let amounts = [
            ("cpu", self.resources.cpu),
            ("memMb", self.resources.memory_mb),
            ("gpu", self.resources.gpu),
            ("estimatedMs", self.estimated_ms),
        ];
        amounts
            .into_iter()
            .find(|(_, amount)| *amount > MAX_AMOUNT)
            .map(|(field, _)| field)
    }
}

/// A job as its client submits it.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct JobSpec {
    /// Opaque text that is passed unchanged to each task.
    #[n(0)]
    pub spec: String,
    /// The steps. A step can depend on earlier ones only.
    #[n(1)]
    pub steps: Vec<StepSpec>,
    /// Whether the tasks run until the job is cancelled.
    #[n(2)]
    pub long_running: bool,
    /// Number of scheduled occurrences; zero for a single occurrence without a schedule.
    #[n(3)]
    pub repeat_count: u32,
    /// When the first occurrence is due, in milliseconds since 1970.
    #[n(4)]
    pub start_at_ms: WallMillis,
    /// Time between occurrences, in milliseconds.
    #[n(5)]
    pub interval_ms: u64,
}

/// Why a specification is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobSpecError {
    /// `spec` is too long. Contains its length in bytes.
    #[error("spec has {0} bytes, {MAX_SPEC_BYTES} at most")]
    SpecTooLong(usize),
    /// There are no steps.
    #[error("the job has no steps")]
    NoSteps,
    /// A step has no tasks. Contains its position.
    #[error("step {0} has no tasks")]
    EmptyStep(usize),
    /// There are too many tasks. Contains their number.
    #[error("the job has {0} tasks, {MAX_TASKS_PER_JOB} at most")]
    TooManyTasks(u64),
    /// A resource or estimate is too large. Contains the position of the step and the JSON name of the field.
    #[error("step {0} has too large a number for {1}, {MAX_AMOUNT} at most")]
    AmountTooLarge(usize, &'static str),
    /// A step depends on itself, on a later step or on one that does not exist. Contains the positions of both.
    #[error("step {0} depends on step {1}, which is not before it")]
    BadDependency(usize, u32),
}

impl JobSpec {
    /// Validates the specification. A job that passes can be run.
    ///
    /// # Errors
    /// The first violation found.
    pub fn validate(&self) -> Result<(), JobSpecError> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(JobSpecError::SpecTooLong(self.spec.len()));
        }
        if self.steps.is_empty() {
            return Err(JobSpecError::NoSteps);
        }
        for (position, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(JobSpecError::EmptyStep(position));
            }
            if let Some(field) = step.too_large_amount() {
                return Err(JobSpecError::AmountTooLarge(position, field));
            }
            let bad_dependency = step
                .depends_on
                .iter()
                .find(|dependency| **dependency as usize >= position);
            if let Some(dependency) = bad_dependency {
                return Err(JobSpecError::BadDependency(position, *dependency));
            }
        }
        let tasks = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS_PER_JOB {
            return Err(JobSpecError::TooManyTasks(tasks));
        }
        Ok(())
    }

    /// Number of occurrences, at least one.
    pub fn occurrences(&self) -> u32 {
        self.repeat_count.max(1)
    }

    /// When an occurrence is due, in milliseconds since 1970; `None` for a job without a schedule.
    pub fn scheduled_ms(&self, occurrence: u32) -> Option<WallMillis> {
        let offset = u64::from(occurrence).saturating_mul(self.interval_ms);
        (self.repeat_count > 0).then(|| self.start_at_ms.saturating_add(offset))
    }

    /// Length of the critical path: the longest chain of estimated durations through the steps, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        // Steps depend on earlier ones only, so the chains of all dependencies are computed before the step itself.
        let mut chains: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let longest_before = step
                .depends_on
                .iter()
                .filter_map(|position| chains.get(*position as usize))
                .max()
                .copied();
            chains.push(
                longest_before
                    .unwrap_or(0)
                    .saturating_add(step.estimated_ms),
            );
        }
        chains.into_iter().max().unwrap_or(0)
    }

    /// The longest chain of estimated durations that starts with each step, in milliseconds, in the order of the steps.
    pub fn critical_paths_from_steps(&self) -> Vec<u64> {
        let mut chains = vec![0_u64; self.steps.len()];
        // Steps depend on earlier ones only, so in reverse order the chains of all dependents are computed first.
        for (position, step) in self.steps.iter().enumerate().rev() {
            chains[position] = chains[position].saturating_add(step.estimated_ms);
            let chain = chains[position];
            for dependency in &step.depends_on {
                if let Some(longest_after) = chains.get_mut(*dependency as usize) {
                    *longest_after = chain.max(*longest_after);
                }
            }
        }
        chains
    }
}
