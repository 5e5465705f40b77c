//! Evidence on a worker that answers well and does its work badly.
use magpiegap_protocol::{JobId, Millis};

/// Failures of different jobs in a row after which a worker is left alone for a while, at least ...
const MIN_FAILURES: usize = 2;
/// ... and at most.
const MAX_FAILURES: usize = 3;
/// As many failures in a row as would come by chance, on a sound worker, less often than this.
const MAX_CHANCE: f64 = 0.0005;
/// The weight of one run in the share of runs that fail.
const GAIN: f64 = 0.01;
/// First time that a worker is left alone.
const BASE_EJECTION_MS: Millis = 4000;
/// Longest time that a worker is left alone.
const MAX_EJECTION_MS: Millis = 30_000;

/// The share of runs that fail, over all workers of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct FailureRate(f64);

impl FailureRate {
    /// A run has ended, well or not.
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
    /// The jobs whose runs have failed here since a run last ended well.
    failed: Vec<JobId>,
    /// No new runs before this time.
    ejected_until: Millis,
    /// How often in a row it was left alone.
    ejections: u32,
}

impl Health {
    /// Whether the evidence allows new runs.
    pub(crate) fn is_schedulable(&self, now: Millis) -> bool {
        now >= self.ejected_until
    }

    /// Whether it is on trial: it was left alone, and no run has ended well since.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.ejections > 0
    }

    /// A run has ended well.
    pub(crate) fn record_success(&mut self) {
        self.failed.clear();
        self.ejections = 0;
    }

    /// A run of this job has failed; so many of different jobs in a row are evidence against the worker. Returns whether
    /// it is now left alone.
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

    /// Leaves the worker alone for a while, each time longer.
    pub(crate) fn eject(&mut self, now: Millis) {
        let time = BASE_EJECTION_MS << self.ejections.min(4);
        self.ejected_until = now + time.min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.failed.clear();
    }
}
