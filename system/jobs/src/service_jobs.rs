//! The services that have jobs in the state, whether or not the current configuration names them.
use crate::{Job, Shared};
use magpiegap_protocol::JobId;
use std::collections::BTreeMap;

/// Number of jobs per service. Services without jobs are omitted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceJobs(BTreeMap<String, u64>);

impl ServiceJobs {
    /// Counts the given jobs.
    pub fn of(jobs: &BTreeMap<JobId, Shared<Job>>) -> ServiceJobs {
        let mut counts = ServiceJobs::default();
        for job in jobs.values() {
            counts.add(&job.submission.service);
        }
        counts
    }

    /// Counts a job that was added to the state.
    pub(crate) fn add(&mut self, service: &str) {
        match self.0.get_mut(service) {
            Some(count) => *count += 1,
            None => {
                self.0.insert(service.to_owned(), 1);
            }
        }
    }

    /// Stops counting a job that was removed from the state.
    pub(crate) fn remove(&mut self, service: &str) {
        let Some(count) = self.0.get_mut(service) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.0.remove(service);
        }
    }

    /// Returns the services that have jobs, in alphabetical order.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }
}
