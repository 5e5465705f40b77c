//! Job lists for operators.
use magpiegap_jobs::{Job, State, StepState};
use magpiegap_protocol::JobFilter;
use serde::{Deserialize, Serialize};
use std::ops::Bound;

/// Maximum number of jobs per page.
const MAX_LISTED_JOBS: usize = 10_000;

/// A page of jobs from the state of one coordinator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// Index of the last log entry applied by the coordinator.
    pub entry: u64,
    /// The jobs, ordered by ID.
    pub jobs: Vec<JobRow>,
    /// ID of the last job on the page if more jobs follow; otherwise `None`.
    pub next: Option<String>,
}

/// A job in a list. The field names are part of the operator interface.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// The job ID.
    pub job: String,
    /// The queue to which the job was submitted.
    pub queue: String,
    /// The phase, as reported to clients.
    pub state: String,
    /// The priority; zero is the highest.
    pub priority: u32,
    /// Submission time, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Number of tasks in opened occurrences that have not been pruned; zero for an ended job without active runs.
    pub tasks: usize,
    /// Number of these tasks that are done.
    pub done: usize,
    /// Number of active runs.
    pub running: usize,
}

impl JobList {
    /// Lists the jobs that match a filter.
    pub fn of(state: &State, filter: &JobFilter) -> JobList {
        let limit = (filter.limit as usize).clamp(1, MAX_LISTED_JOBS);
        let after = filter.after.map_or(Bound::Unbounded, Bound::Excluded);
        let matches = |job: &Job| {
            filter
                .queue
                .as_ref()
                .is_none_or(|queue| *queue == job.submission.queue)
                && filter.phase.is_none_or(|phase| phase == job.phase)
        };
        let remaining = state.jobs.range((after, Bound::Unbounded));
        let mut found = remaining.map(|(_, job)| job).filter(|job| matches(job));
        let jobs: Vec<JobRow> = found
            .by_ref()
            .take(limit)
            .map(|job| JobRow::of(job))
            .collect();
        let has_more = found.next().is_some();
        let next = jobs
            .last()
            .filter(|_| has_more)
            .map(|last| last.job.clone());
        JobList {
            entry: state.position.index.0,
            jobs,
            next,
        }
    }
}

impl JobRow {
    fn of(job: &Job) -> JobRow {
        let steps = || {
            job.occurrences
                .values()
                .flat_map(|occurrence| &occurrence.steps)
        };
        let running = |step: &StepState| {
            step.tasks
                .iter()
                .map(|task| task.active_runs.len())
                .sum::<usize>()
        };
        let submission = &job.submission;
        JobRow {
            job: submission.job.to_string(),
            queue: submission.queue.clone(),
            state: job.phase.as_str().to_owned(),
            priority: submission.priority,
            submitted_ms: submission.submitted_ms.0,
            tasks: steps().map(|step| step.tasks.len()).sum(),
            done: steps().map(|step| step.done as usize).sum(),
            running: steps().map(running).sum(),
        }
    }
}
