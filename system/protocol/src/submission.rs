//! A job as it stands in the log: what the client submitted, and the terms of its queue.
use crate::{JobId, JobSpec, WallMillis};
use minicbor::{Decode, Encode};

/// A job that was accepted, with the terms of its queue at that time.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Submission {
    /// Name of the job.
    #[n(0)]
    pub job: JobId,
    /// The queue: host and path prefix of its route.
    #[n(1)]
    pub queue: String,
    /// Name of the service whose workers run it.
    #[n(2)]
    pub service: String,
    /// Priority; zero is the highest.
    #[n(3)]
    pub priority: u32,
    /// How many runs of a task may fail before the job fails.
    #[n(4)]
    pub max_attempts: u32,
    /// One term of the latency target: a multiple of the job's longest chain of work.
    #[n(5)]
    pub stretch: f64,
    /// The other term of the latency target, in milliseconds.
    #[n(6)]
    pub target_latency_ms: u64,
    /// When it was submitted, by the time of day of the core machines.
    #[n(7)]
    pub submitted_ms: WallMillis,
    /// What the client submitted.
    #[n(8)]
    pub spec: JobSpec,
}

impl Submission {
    /// Estimated size in bytes, encoded or in memory.
    pub fn estimated_bytes(&self) -> usize {
        const STEP_BYTES: usize = 100;
        self.spec.spec.len() + STEP_BYTES * self.spec.steps.len()
    }
}
