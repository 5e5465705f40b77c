//! Outlier ejection: ejects workers that respond but whose runs fail or make no progress.
//!
//! Unresponsive workers are handled by lease renewal, not here.
use magpiegap_protocol::{JobId, Millis};

/// Minimum number of consecutive failures of different jobs that eject a worker.
const MIN_FAILURES_TO_EJECT: usize = 2;
/// Maximum number of consecutive failures of different jobs that eject a worker.
const MAX_FAILURES_TO_EJECT: usize = 3;
/// Consecutive failures are evidence against a worker if, at the failure rate of all workers, they occur by chance with
/// a probability below this.
const MAX_CHANCE_PROBABILITY: f64 = 0.0005;
/// Weight of one run in the smoothed failure rate.
const SMOOTHING_FACTOR: f64 = 0.01;
/// Duration of a worker's first ejection; it doubles with each consecutive ejection.
const BASE_EJECTION_MS: Millis = 4000;
/// Maximum duration of an ejection.
const MAX_EJECTION_MS: Millis = 30_000;
/// Maximum duration of the probation that follows an ejection.
const MAX_PROBATION_MS: Millis = 30_000;
/// A failure counts against a worker for this time.
const FAILURE_MEMORY_MS: Millis = 120_000;

/// Smoothed share of failed runs over all workers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct FailureRate(f64);

impl FailureRate {
    /// Records a run that completed, successfully or not.
    pub(crate) fn record(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.0 += SMOOTHING_FACTOR * (sample - self.0);
    }

    /// Number of consecutive failures of different jobs that eject a worker. Where many runs fail because of their
    /// jobs, two consecutive failures are not enough evidence against a worker.
    pub(crate) fn failures_to_eject(self) -> usize {
        let chance_probability = |failures: usize| self.0.powi(failures as i32);
        (MIN_FAILURES_TO_EJECT..MAX_FAILURES_TO_EJECT)
            .find(|failures| chance_probability(*failures) < MAX_CHANCE_PROBABILITY)
            .unwrap_or(MAX_FAILURES_TO_EJECT)
    }
}

/// The last failure of a job on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
struct JobFailure {
    job: JobId,
    at: Millis,
}

/// A worker's health as shown by its runs.
///
/// All evidence has an end: a success clears it, failures expire, and ejection and probation are bounded in time.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Health {
    /// Recent failures of different jobs on this worker since its last success.
    failures: Vec<JobFailure>,
    /// When a run last failed on this worker.
    last_failure_at: Millis,
    /// End of the current or last ejection; no new runs are placed before it.
    ejected_until: Millis,
    /// Number of consecutive ejections.
    ejections: u32,
}

impl Health {
    /// Whether the worker is not ejected.
    pub(crate) fn is_schedulable(&self, now: Millis) -> bool {
        now >= self.ejected_until
    }

    /// Whether the worker is ejected or on probation: it was ejected recently and has not succeeded since.
    pub(crate) fn is_on_probation(&self, now: Millis) -> bool {
        self.ejections > 0 && now < self.ejected_until + MAX_PROBATION_MS
    }

    /// End of the current or last ejection.
    pub(crate) fn ejected_until(&self) -> Millis {
        self.ejected_until
    }

    /// Whether anything is held against the worker.
    pub(crate) fn has_failures(&self) -> bool {
        self.ejections > 0 || !self.failures.is_empty()
    }

    /// When a run last failed on this worker.
    pub(crate) fn last_failure_at(&self) -> Millis {
        self.last_failure_at
    }

    pub(crate) fn record_success(&mut self) {
        self.failures.clear();
        self.ejections = 0;
    }

    /// Records a failed run and returns whether there is enough evidence to eject the worker: either
    /// `failures_to_eject` different jobs have failed in a row, or the worker is on probation.
    pub(crate) fn record_failure(
        &mut self,
        job: JobId,
        failures_to_eject: usize,
        now: Millis,
    ) -> bool {
        self.last_failure_at = now;
        self.failures
            .retain(|failure| failure.job != job && now < failure.at + FAILURE_MEMORY_MS);
        self.failures.push(JobFailure { job, at: now });
        self.failures.len() >= failures_to_eject || self.is_on_probation(now)
    }

    /// Ejects the worker, for longer with each consecutive ejection.
    pub(crate) fn eject(&mut self, now: Millis) {
        if !self.is_on_probation(now) {
            self.ejections = 0;
        }
        let duration_ms = BASE_EJECTION_MS << self.ejections.min(4);
        self.ejected_until = now + duration_ms.min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.failures.clear();
    }
}
