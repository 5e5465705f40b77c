//! Backoff of jobs whose starts workers reject as invalid.
//!
//! What one worker cannot parse, others will hardly accept, so a rejected start speaks against the job first. The job is
//! tried again after a growing delay, one unit and thereby one worker at a time, until a start of it succeeds.
use magpiegap_protocol::{JobId, Millis};
use rand::{rngs::StdRng, Rng};
use std::collections::HashMap;

/// Delay after the first rejection; it doubles with each rejected attempt.
const BASE_DELAY_MS: Millis = 1000;
/// Maximum delay, before jitter.
const MAX_DELAY_MS: Millis = 8000;
/// A delay is extended at random by up to its duration divided by this.
const JITTER_DIVISOR: Millis = 4;

/// The rejected starts of a job since one of its starts has last succeeded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RejectedStarts {
    /// Number of attempts that were rejected. Starts that were sent together count as one.
    pub attempts: u32,
    /// When the next start may be placed.
    pub retry_at: Millis,
    /// A start was placed after the last delay, and its reply is not known.
    attempt_in_flight: bool,
    /// The worker that was the first to reject a start.
    first_worker: String,
}

/// Which workers have rejected the starts of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RejectedBy {
    /// This one alone, which may be at fault itself.
    OneWorker,
    /// Others too.
    SeveralWorkers,
}

/// The jobs whose starts are rejected.
#[derive(Clone, Debug, Default)]
pub(crate) struct StartBackoff {
    jobs: HashMap<JobId, RejectedStarts>,
}

impl StartBackoff {
    /// The rejected starts of a job; `None` if its last start was not rejected.
    pub(crate) fn of(&self, job: JobId) -> Option<&RejectedStarts> {
        self.jobs.get(&job)
    }

    /// Number of jobs whose starts are rejected.
    pub(crate) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no start of a job may be placed now.
    pub(crate) fn is_backing_off(&self, job: JobId, now: Millis) -> bool {
        self.of(job).is_some_and(|rejected| now < rejected.retry_at)
    }

    /// Records that a start of a job was placed. If earlier ones were rejected, no other one is placed until its reply
    /// is known, or for the maximum delay.
    pub(crate) fn record_attempt(&mut self, job: JobId, now: Millis) {
        if let Some(rejected) = self.jobs.get_mut(&job) {
            rejected.attempt_in_flight = true;
            rejected.retry_at = now + MAX_DELAY_MS;
        }
    }

    /// Records that a worker has rejected a start of a job as invalid.
    pub(crate) fn record_rejection(
        &mut self,
        job: JobId,
        incarnation: &str,
        now: Millis,
        random: &mut StdRng,
    ) -> RejectedBy {
        let rejected = self.jobs.entry(job).or_insert_with(|| RejectedStarts {
            attempts: 0,
            retry_at: now,
            attempt_in_flight: true,
            first_worker: incarnation.to_owned(),
        });
        if rejected.attempt_in_flight {
            let delay_ms = MAX_DELAY_MS.min(BASE_DELAY_MS << rejected.attempts.min(8));
            rejected.attempt_in_flight = false;
            rejected.attempts = rejected.attempts.saturating_add(1);
            rejected.retry_at = now + delay_ms + random.gen_range(0..=delay_ms / JITTER_DIVISOR);
        }
        if rejected.first_worker == incarnation {
            RejectedBy::OneWorker
        } else {
            RejectedBy::SeveralWorkers
        }
    }

    /// Ends the backoff of a job, because a start of it has succeeded or because it was removed. Returns whether there
    /// was one.
    pub(crate) fn end(&mut self, job: JobId) -> bool {
        self.jobs.remove(&job).is_some()
    }
}
