//! What a client asks for when it submits a job.
use crate::WallMillis;
use minicbor::{Decode, Encode};

/// Longest `spec` that is taken, in bytes.
pub const MAX_SPEC_BYTES: usize = 4000;
/// Most tasks of one job, over all its steps and at one time.
pub const MAX_TASKS_PER_JOB: u64 = 20_000;

/// Resources that a task asks for or a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Resources {
    /// Thousandths of a processor core.
    #[n(0)]
    pub cpu: u64,
    /// Memory in megabytes.
    #[n(1)]
    pub memory_mb: u64,
    /// Graphics processors.
    #[n(2)]
    pub gpu: u64,
}

impl Resources {
    /// Whether this much fits into `room`.
    pub fn fits(&self, room: &Resources) -> bool {
        self.cpu <= room.cpu && self.memory_mb <= room.memory_mb && self.gpu <= room.gpu
    }

    /// The sum of both.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu + other.cpu,
            memory_mb: self.memory_mb + other.memory_mb,
            gpu: self.gpu + other.gpu,
        }
    }

    /// What is left when `other` is taken away; never below zero.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// The largest part of `capacity` that this takes up in any of its kinds: 0 for none, 1 for all of it.
    pub fn dominant_share(&self, capacity: &Resources) -> f64 {
        let part = |used: u64, whole: u64| match (used, whole) {
            (0, _) => 0.0,
            (_, 0) => f64::INFINITY,
            (used, whole) => used as f64 / whole as f64,
        };
        part(self.cpu, capacity.cpu)
            .max(part(self.memory_mb, capacity.memory_mb))
            .max(part(self.gpu, capacity.gpu))
    }
}

/// One step of a job: a number of like tasks.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct StepSpec {
    /// How many tasks.
    #[n(0)]
    pub count: u32,
    /// What each task asks for.
    #[n(1)]
    pub resources: Resources,
    /// The client's rough guess of a task's duration, in milliseconds; zero: none.
    #[n(2)]
    pub estimated_ms: u64,
    /// Positions of earlier steps whose tasks must all be done first.
    #[n(3)]
    pub depends_on: Vec<u32>,
    /// The tasks checkpoint their progress.
    #[n(4)]
    pub checkpoints: bool,
    /// The tasks work only together.
    #[n(5)]
    pub gang: bool,
    /// Spread over several racks the tasks are slowed down.
    #[n(6)]
    pub rack_local: bool,
    /// Labels that the worker must have.
    #[n(7)]
    pub requirements: Vec<String>,
    /// The rack that holds the data.
    #[n(8)]
    pub affinity: Option<String>,
    /// At most this many tasks of the step on one worker; zero: no limit.
    #[n(9)]
    pub anti_affinity: u32,
    /// Copies of a task may run side by side.
    #[n(10)]
    pub allow_duplicate: bool,
}

/// A job as its client submits it.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct JobSpec {
    /// Handed to each task as it is.
    #[n(0)]
    pub spec: String,
    /// The steps; a step depends on earlier ones only.
    #[n(1)]
    pub steps: Vec<StepSpec>,
    /// The tasks run until the job is cancelled.
    #[n(2)]
    pub long_running: bool,
    /// How many times the steps run; zero: once, at once.
    #[n(3)]
    pub repeat_count: u32,
    /// When the first time falls due, in milliseconds since 1970.
    #[n(4)]
    pub start_at_ms: WallMillis,
    /// Milliseconds from one time to the next.
    #[n(5)]
    pub interval_ms: u64,
}

/// Why a job can't be taken as it stands.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobSpecError {
    /// The text handed to the tasks is too long.
    #[error("spec has {0} bytes, {MAX_SPEC_BYTES} at most")]
    SpecTooLong(usize),
    /// There is nothing to run.
    #[error("the job has no steps")]
    NoSteps,
    /// A step has no tasks.
    #[error("step {0} has no tasks")]
    EmptyStep(usize),
    /// Too many tasks.
    #[error("the job has {0} tasks, {MAX_TASKS_PER_JOB} at most")]
    TooManyTasks(u64),
    /// A step depends on itself, a later step or none that exists.
    #[error("step {0} depends on step {1}, which is not before it")]
    BadDependency(usize, u32),
}

impl JobSpec {
    /// Checks what no later part can mend.
    ///
    /// # Errors
    /// The first fault found.
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
            if let Some(&bad) = step
                .depends_on
                .iter()
                .find(|&&earlier| earlier as usize >= position)
            {
                return Err(JobSpecError::BadDependency(position, bad));
            }
        }
        let tasks = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_TASKS_PER_JOB {
            return Err(JobSpecError::TooManyTasks(tasks));
        }
        Ok(())
    }

    /// How many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.repeat_count.max(1)
    }

    /// When a time of a repeated job falls due, in milliseconds since 1970; `None` for a job that runs at once.
    pub fn scheduled_ms(&self, occurrence: u32) -> Option<WallMillis> {
        let offset = u64::from(occurrence).saturating_mul(self.interval_ms);
        (self.repeat_count > 0).then(|| self.start_at_ms.saturating_add(offset))
    }

    /// The longest chain of estimated durations through the steps, in milliseconds.
    pub fn longest_chain_ms(&self) -> u64 {
        let mut until: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step
                .depends_on
                .iter()
                .filter_map(|&i| until.get(i as usize))
                .max()
                .copied();
            until.push(before.unwrap_or(0) + step.estimated_ms);
        }
        until.into_iter().max().unwrap_or(0)
    }

    /// The longest chain of estimated durations that begins with this step, in milliseconds.
    pub fn chain_from_ms(&self, first: usize) -> u64 {
        let mut from = vec![0_u64; self.steps.len()];
        // Steps depend on earlier ones only, so that those after a step are known when it is looked at.
        for (position, step) in self.steps.iter().enumerate().rev() {
            from[position] += step.estimated_ms;
            let whole = from[position];
            for &before in &step.depends_on {
                if let Some(after) = from.get_mut(before as usize) {
                    *after = whole.max(*after);
                }
            }
        }
        from.get(first).copied().unwrap_or(0)
    }
}
