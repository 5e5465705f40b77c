//! Lists of jobs, for operators.
use magpiegap_jobs::{Job, State, StepState};
use magpiegap_protocol::JobFilter;
use serde::{Deserialize, Serialize};
use std::ops::Bound;

/// Maximum number of jobs in one list.
const MAX_LISTED_JOBS: usize = 10_000;

/// A page of jobs, as one coordinator has them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// The newest entry of the log that the coordinator has applied.
    pub entry: u64,
    /// The jobs, in the order of their names.
    pub jobs: Vec<JobRow>,
    /// The last job listed, where more follow; `None`: the list is complete.
    pub next: Option<String>,
}

/// One job of a list. The fields are names of the operator's interface.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRow {
    /// Its name.
    pub job: String,
    /// The queue to which it was submitted.
    pub queue: String,
    /// Its state, as clients are shown it.
    pub state: String,
    /// Its priority; zero goes first.
    pub priority: u32,
    /// When it was submitted, in milliseconds since 1970.
    pub submitted_ms: u64,
    /// Tasks of all occurrences that have fallen due and were not removed; none once the job has ended.
    pub tasks: usize,
    /// Those of them that have completed.
    pub done: usize,
    /// Runs that may be in progress.
    pub running: usize,
}

impl JobList {
    /// Lists the jobs of a state that a filter matches.
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
