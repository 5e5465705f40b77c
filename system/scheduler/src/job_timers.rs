//! Wall-clock timers of jobs: the next occurrence of repeated jobs and the removal of completed jobs.
//!
//! Only returns what is due; the caller proposes the commands.
use magpiegap_jobs::{Job, State};
use magpiegap_protocol::{JobId, WallMillis, MAX_TASKS_PER_JOB};
use std::collections::{BTreeSet, HashMap};

/// An occurrence opens only while all open ones of its job together have at most this many tasks, or when none is open.
const MAX_OPEN_TASKS: u64 = MAX_TASKS_PER_JOB;
/// Maximum number of jobs removed by one command.
const MAX_REMOVED_AT_ONCE: usize = 500;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Occurrence {
    pub job: JobId,
    pub number: u32,
}

/// At most one time for each job, in order.
#[derive(Clone, Debug, Default)]
struct TimerQueue {
    by_time: BTreeSet<(WallMillis, JobId)>,
    times: HashMap<JobId, WallMillis>,
}

impl TimerQueue {
    fn set(&mut self, job: JobId, at: WallMillis) {
        self.remove(job);
        self.by_time.insert((at, job));
        self.times.insert(job, at);
    }

    fn remove(&mut self, job: JobId) {
        if let Some(at) = self.times.remove(&job) {
            self.by_time.remove(&(at, job));
        }
    }

    /// The jobs whose time satisfies a condition that holds for all earlier times too, earliest first.
    fn jobs_while<'a>(
        &'a self,
        is_due: impl Fn(WallMillis) -> bool + 'a,
    ) -> impl Iterator<Item = JobId> + 'a {
        let due = self.by_time.iter().take_while(move |(at, _)| is_due(*at));
        due.map(|(_, job)| *job)
    }
}

/// Pending wall-clock timers of the jobs of a service.
#[derive(Clone, Debug, Default)]
pub(crate) struct JobTimers {
    /// Repeated jobs, by the time of their next occurrence.
    scheduled: TimerQueue,
    /// The last occurrence of each repeated job that was proposed for the log.
    proposed: HashMap<JobId, u32>,
    /// Completed jobs, by their completion time.
    completed: TimerQueue,
}

impl JobTimers {
    /// Removes all timers, before the replicated state is read again.
    pub(crate) fn clear(&mut self) {
        *self = JobTimers::default();
    }

    /// Schedules the next occurrence of an active job; does nothing if the job is not repeated.
    pub(crate) fn schedule(&mut self, job: &Job) {
        let id = job.submission.job;
        let spec = &job.submission.spec;
        if spec.repeat_count == 0 {
            return;
        }
        self.scheduled.remove(id);
        if job.next_occurrence >= spec.occurrences() {
            return;
        }
        if let Some(at) = spec.scheduled_ms(job.next_occurrence) {
            self.scheduled.set(id, at);
        }
    }

    /// Records that a job has completed and cancels its next occurrence.
    pub(crate) fn complete(&mut self, job: JobId, completed_at: WallMillis) {
        self.completed.set(job, completed_at);
        self.scheduled.remove(job);
        self.proposed.remove(&job);
    }

    /// Removes a completed job that the log has removed.
    pub(crate) fn remove(&mut self, job: JobId) {
        self.completed.remove(job);
    }

    /// Returns the due occurrences that have not been returned before. Those of jobs with too many open tasks stay due.
    pub(crate) fn take_due(&mut self, wall: WallMillis, state: &State) -> Vec<Occurrence> {
        let due: Vec<JobId> = self.scheduled.jobs_while(|at| at <= wall).collect();
        let mut occurrences = Vec::new();
        for id in due {
            let Some(job) = state.jobs.get(&id) else {
                self.scheduled.remove(id);
                continue;
            };
            let number = job.next_occurrence;
            if has_too_many_open_tasks(job) || self.proposed.get(&id) == Some(&number) {
                continue;
            }
            self.proposed.insert(id, number);
            occurrences.push(Occurrence { job: id, number });
        }
        occurrences
    }

    /// Removes and returns the earliest jobs completed before `before`, up to [`MAX_REMOVED_AT_ONCE`].
    pub(crate) fn take_completed_before(&mut self, before: WallMillis) -> Vec<JobId> {
        let due = self.completed.jobs_while(|at| at < before);
        let removed: Vec<JobId> = due.take(MAX_REMOVED_AT_ONCE).collect();
        for job in &removed {
            self.completed.remove(*job);
        }
        removed
    }
}

/// Whether another occurrence would exceed [`MAX_OPEN_TASKS`].
fn has_too_many_open_tasks(job: &Job) -> bool {
    let steps = &job.submission.spec.steps;
    let tasks: u64 = steps.iter().map(|step| u64::from(step.count)).sum();
    let open = job.occurrences.len() as u64;
    open > 0 && (open + 1).saturating_mul(tasks) > MAX_OPEN_TASKS
}
