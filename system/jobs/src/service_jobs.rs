//! Counts of the jobs in the state: by service, whether or not the current configuration names it, and of tombstones.
use crate::{Job, Shared};
use magpiegap_protocol::{JobId, Submission};
use std::collections::BTreeMap;

/// Number of jobs per service, and of tombstones over all services.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceJobs {
    /// Number of jobs by service, tombstones included. Services without jobs are omitted.
    by_service: BTreeMap<String, u64>,
    /// Number of tombstones.
    tombstones: u64,
}

impl ServiceJobs {
    /// Counts the given jobs.
    pub fn of(jobs: &BTreeMap<JobId, Shared<Job>>) -> ServiceJobs {
        let mut counts = ServiceJobs::default();
        for job in jobs.values() {
            counts.add(&job.submission);
        }
        counts
    }

    /// Counts a job that was added to the state.
    pub(crate) fn add(&mut self, submission: &Submission) {
        self.tombstones += u64::from(submission.is_tombstone());
        match self.by_service.get_mut(&submission.service) {
            Some(count) => *count += 1,
            None => {
                self.by_service.insert(submission.service.clone(), 1);
            }
        }
    }

    /// Stops counting a job that was removed from the state.
    pub(crate) fn remove(&mut self, submission: &Submission) {
        let Some(count) = self.by_service.get_mut(&submission.service) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.by_service.remove(&submission.service);
        }
        let removed_tombstones = u64::from(submission.is_tombstone());
        self.tombstones = self.tombstones.saturating_sub(removed_tombstones);
    }

    /// Returns the number of tombstones.
    pub fn tombstones(&self) -> u64 {
        self.tombstones
    }

    /// Returns the services that have jobs, in alphabetical order.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.by_service.keys().map(String::as_str)
    }
}
