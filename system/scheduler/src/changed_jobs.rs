//! Jobs whose queue is to be refreshed because their state has changed.
//!
//! A refresh examines all tasks of a job. Many changes are therefore covered by one refresh, and the larger a job's queue
//! is, the longer the next refresh waits, so that the time spent on them is bounded at any size.
use magpiegap_protocol::{JobId, Millis};
use std::collections::{BTreeSet, HashMap};

/// Number of queued units of a job that add one millisecond to the interval between its refreshes.
const UNITS_PER_PAUSE_MS: usize = 128;
/// Maximum interval between refreshes of a job.
const MAX_PAUSE_MS: Millis = 100;

/// The jobs that have changed since their last refresh.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangedJobs {
    changed: BTreeSet<JobId>,
    /// Earliest times of the next refreshes of jobs with long queues.
    not_before: HashMap<JobId, Millis>,
}

impl ChangedJobs {
    pub(crate) fn mark(&mut self, job: JobId) {
        self.changed.insert(job);
    }

    /// Removes and returns the changed jobs whose refresh is due.
    pub(crate) fn take_due(&mut self, now: Millis) -> Vec<JobId> {
        let is_due = |job: &JobId| self.not_before.get(job).is_none_or(|at| *at <= now);
        let due: Vec<JobId> = self.changed.iter().copied().filter(is_due).collect();
        for job in &due {
            self.changed.remove(job);
            self.not_before.remove(job);
        }
        due
    }

    /// Records a refresh that left `queued` units in the queue.
    pub(crate) fn record_refresh(&mut self, job: JobId, queued: usize, now: Millis) {
        let pause_ms = ((queued / UNITS_PER_PAUSE_MS) as Millis).min(MAX_PAUSE_MS);
        if pause_ms > 0 {
            self.not_before.insert(job, now + pause_ms);
        }
    }

    /// Forgets a job that has ended or was removed.
    pub(crate) fn remove(&mut self, job: JobId) {
        self.changed.remove(&job);
        self.not_before.remove(&job);
    }

    pub(crate) fn clear(&mut self) {
        self.changed.clear();
        self.not_before.clear();
    }
}
