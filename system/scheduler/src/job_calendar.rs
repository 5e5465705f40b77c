//! Jobs by the time of day at which something is due for them: the next occurrence of a repeated job, and the removal
//! of a completed one.
//!
//! It proposes nothing itself: it returns what is due.
use magpiegap_jobs::{Job, State};
use magpiegap_protocol::{JobId, WallMillis};
use std::collections::{BTreeSet, HashSet};

/// Jobs that one command removes, at most.
const MAX_REMOVED_AT_ONCE: usize = 500;

/// An occurrence of a repeated job, counted from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Occurrence {
    pub job: JobId,
    pub number: u32,
}

/// The times of day at which jobs need something.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobCalendar {
    /// Repeated jobs by when their next occurrence is due.
    scheduled: BTreeSet<(WallMillis, JobId)>,
    /// Occurrences that were proposed for the log.
    proposed: HashSet<Occurrence>,
    /// Completed jobs by when they were completed.
    completed: BTreeSet<(WallMillis, JobId)>,
}

impl JobCalendar {
    /// Drops everything, before the replicated state is read again.
    pub(crate) fn clear(&mut self) {
        self.scheduled.clear();
        self.proposed.clear();
        self.completed.clear();
    }

    /// Schedules the next occurrence of a job that is not completed; does nothing for one that is not repeated.
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

    /// Records that a job is completed.
    pub(crate) fn complete(&mut self, job: JobId, completed_at: WallMillis) {
        self.completed.insert((completed_at, job));
        self.unschedule(job);
    }

    /// Drops a completed job that the log has removed.
    pub(crate) fn forget(&mut self, job: JobId) {
        self.completed.retain(|(_, other)| *other != job);
    }

    /// Returns the occurrences that are due and were not returned before.
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

    /// Takes out jobs that were completed before this time, the earliest first and not too many at once.
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
