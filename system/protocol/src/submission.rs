//! A submitted job as stored in the log: the client's specification and the parameters of its queue.
use crate::{JobId, JobSpec, WallMillis};
use minicbor::{Decode, Encode};

/// An accepted job, with the parameters of its queue at that time.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Submission {
    /// Identifier of the job.
    #[n(0)]
    pub job: JobId,
    /// The queue: host and path prefix of its route.
    #[n(1)]
    pub queue: String,
    /// Name of the service whose workers run the job.
    #[n(2)]
    pub service: String,
    /// Priority; zero is the highest.
    #[n(3)]
    pub priority: u32,
    /// Number of failed runs of a task after which the job fails.
    #[n(4)]
    pub max_attempts: u32,
    /// The relative part of the latency target: a multiple of the job's critical path.
    #[n(5)]
    pub stretch: f64,
    /// The absolute part of the latency target, in milliseconds.
    #[n(6)]
    pub target_latency_ms: u64,
    /// Submission time, by the wall clock of the core machines.
    #[n(7)]
    pub submitted_ms: WallMillis,
    /// The client's specification.
    #[n(8)]
    pub spec: JobSpec,
}

impl Submission {
    /// Creates a tombstone: the record of a cancellation that came before its job. It takes the job's ID, so that a
    /// submission that is still on its way does not create the job.
    ///
    /// It is a job without steps that was never submitted, so that builds without tombstones can apply it too.
    pub fn tombstone(job: JobId, queue: &str, service: &str) -> Submission {
        Submission {
            job,
            queue: queue.to_owned(),
            service: service.to_owned(),
            priority: 0,
            max_attempts: 0,
            stretch: 0.0,
            target_latency_ms: 0,
            submitted_ms: WallMillis(0),
            spec: JobSpec::default(),
        }
    }

    /// Whether this is a tombstone: it was never submitted and permits no run. This does not change when a job ends.
    pub fn is_tombstone(&self) -> bool {
        self.submitted_ms == WallMillis(0) && self.max_attempts == 0
    }

    /// Estimated size in bytes, encoded or in memory.
    pub fn estimated_bytes(&self) -> usize {
        const STEP_BYTES: usize = 100;
        self.spec.spec.len() + STEP_BYTES * self.spec.steps.len()
    }
}
