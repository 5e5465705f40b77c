//! Evidence on a worker that answers well and does its work badly.
use magpiegap_protocol::{JobId, Millis};

/// Failures of different jobs in a row after which a worker is left alone for a while.
const FAILURES_TO_EJECT: usize = 2;
/// First time that a worker is left alone.
const FIRST_EJECTION_MS: Millis = 4000;
/// Longest time that a worker is left alone.
const LONGEST_EJECTION_MS: Millis = 30_000;

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
    pub fn takes_work(&self, now: Millis) -> bool {
        now >= self.ejected_until
    }

    /// Whether it is on trial: it was left alone, and no run has ended well since.
    pub fn on_trial(&self) -> bool {
        self.ejections > 0
    }

    /// A run has ended well.
    pub fn succeeded(&mut self) {
        self.failed.clear();
        self.ejections = 0;
    }

    /// A run of this job has failed. Returns whether the worker is now left alone.
    pub fn failed(&mut self, job: JobId, now: Millis) -> bool {
        if !self.failed.contains(&job) {
            self.failed.push(job);
        }
        if self.failed.len() < FAILURES_TO_EJECT && !self.on_trial() {
            return false;
        }
        self.eject(now);
        true
    }

    /// Leaves the worker alone for a while, each time longer.
    pub fn eject(&mut self, now: Millis) {
        let time = FIRST_EJECTION_MS << self.ejections.min(4);
        self.ejected_until = now + time.min(LONGEST_EJECTION_MS);
        self.ejections += 1;
        self.failed.clear();
    }
}
