//! Ejects workers that reply well and do their work badly, by how their runs complete (outlier ejection).
//!
//! Workers that do not reply are not its concern.
use magpiegap_protocol::{JobId, Millis};

/// Failures of different jobs in a row after which a worker is ejected, at least ...
const MIN_FAILURES: usize = 2;
/// ... and at most.
const MAX_FAILURES: usize = 3;
/// As many failures in a row as come by chance, on a healthy worker, with less probability than this.
const MAX_CHANCE: f64 = 0.0005;
/// The weight of one run in the rate of failures.
const GAIN: f64 = 0.01;
/// Length of a worker's first ejection.
const BASE_EJECTION_MS: Millis = 4000;
/// Length of an ejection, at most.
const MAX_EJECTION_MS: Millis = 30_000;

/// The share of runs that fail, over all workers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct FailureRate(f64);

impl FailureRate {
    /// Records a run that is done or has failed.
    pub(crate) fn record(&mut self, failed: bool) {
        let one = if failed { 1.0 } else { 0.0 };
        self.0 += GAIN * (one - self.0);
    }

    /// How many failures of different jobs in a row are evidence against a worker: where many runs fail by their own
    /// fault, two in a row come by chance.
    pub(crate) fn failures_to_eject(self) -> usize {
        let by_chance = |failures: usize| self.0.powi(failures as i32);
        (MIN_FAILURES..MAX_FAILURES)
            .find(|failures| by_chance(*failures) < MAX_CHANCE)
            .unwrap_or(MAX_FAILURES)
    }
}

/// What a worker's runs have shown of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Health {
    /// The jobs whose runs have failed here since a run was last done.
    failed: Vec<JobId>,
    /// No new runs before this time.
    ejected_until: Millis,
    /// How often in a row it was ejected.
    ejections: u32,
}

impl Health {
    /// Whether it is not ejected.
    pub(crate) fn is_schedulable(&self, now: Millis) -> bool {
        now >= self.ejected_until
    }

    /// Whether it is on probation: it was ejected, and no run has been done since.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.ejections > 0
    }

    /// Records a run that is done.
    pub(crate) fn record_success(&mut self) {
        self.failed.clear();
        self.ejections = 0;
    }

    /// Records a failed run of this job; so many of different jobs in a row are evidence against the worker. Returns
    /// whether it is ejected now.
    pub(crate) fn record_failure(
        &mut self,
        job: JobId,
        failures_to_eject: usize,
        now: Millis,
    ) -> bool {
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        if self.failed.len() < failures_to_eject && !self.is_on_probation() {
            return false;
        }
        self.eject(now);
        true
    }

    /// Ejects the worker for a while, each time for longer.
    pub(crate) fn eject(&mut self, now: Millis) {
        let time = BASE_EJECTION_MS << self.ejections.min(4);
        self.ejected_until = now + time.min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.failed.clear();
    }
}
