//! Wall-clock timers of jobs: the next occurrence of repeated jobs and the removal of completed jobs.
//!
//! Only returns what is due; the caller proposes the commands.
use magpiegap_jobs::{Job, State};
use magpiegap_protocol::{JobId, WallMillis};
use std::collections::{BTreeSet, HashSet};

/// Maximum number of jobs removed by one command.
const MAX_REMOVED_AT_ONCE: usize = 500;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Occurrence {
    pub job: JobId,
    pub number: u32,
}

/// Pending wall-clock timers of the jobs of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobTimers {
    /// Repeated jobs, by the time of their next occurrence.
    scheduled: BTreeSet<(WallMillis, JobId)>,
    /// Occurrences that have been proposed for the log.
    proposed: HashSet<Occurrence>,
    /// Completed jobs, by their completion time.
    completed: BTreeSet<(WallMillis, JobId)>,
}

impl JobTimers {
    /// Removes all timers, before the replicated state is read again.
    pub(crate) fn clear(&mut self) {
        self.scheduled.clear();
        self.proposed.clear();
        self.completed.clear();
    }

    /// Schedules the next occurrence of an active job; does nothing if the job is not repeated.
    pub(crate) fn schedule(&mut self, job: &Job) {
        let id = job.submission.job;
        let spec = &job.submission.spec;
        if spec.repeat_count == 0 {
            return;
        }
        self.unschedule(id);
        if job.next_occurrence >= spec.occurrences() {
            return;
        }
        if let Some(at) = spec.scheduled_ms(job.next_occurrence) {
            self.scheduled.insert((at, id));
        }
    }

    fn unschedule(&mut self, job: JobId) {
        self.scheduled.retain(|(_, other)| *other != job);
    }

    /// Records that a job has completed and cancels its next occurrence.
    pub(crate) fn complete(&mut self, job: JobId, completed_at: WallMillis) {
        self.completed.insert((completed_at, job));
        self.unschedule(job);
    }

    /// Removes a completed job that the log has removed.
    pub(crate) fn remove(&mut self, job: JobId) {
        self.completed.retain(|(_, other)| *other != job);
    }

    /// Returns the due occurrences that have not been returned before.
    pub(crate) fn take_due(&mut self, wall: WallMillis, state: &State) -> Vec<Occurrence> {
        let due: Vec<(WallMillis, JobId)> = self
            .scheduled
            .iter()
            .take_while(|(at, _)| *at <= wall)
            .copied()
            .collect();
        let mut occurrences = Vec::new();
        for (at, id) in due {
            let Some(job) = state.jobs.get(&id) else {
                self.scheduled.remove(&(at, id));
                continue;
            };
            let occurrence = Occurrence {
                job: id,
                number: job.next_occurrence,
            };
            if self.proposed.insert(occurrence) {
                occurrences.push(occurrence);
            }
        }
        occurrences
    }

    /// Removes and returns the earliest jobs completed before `before`, up to [`MAX_REMOVED_AT_ONCE`].
    pub(crate) fn take_completed_before(&mut self, before: WallMillis) -> Vec<JobId> {
        let removed: Vec<JobId> = self
            .completed
            .iter()
            .take_while(|(at, _)| *at < before)
            .take(MAX_REMOVED_AT_ONCE)
            .map(|(_, id)| *id)
            .collect();
        if !removed.is_empty() {
            self.completed.retain(|(_, id)| !removed.contains(id));
        }
        removed
    }
}
