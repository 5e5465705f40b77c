//! Lists of jobs, for operators.
use magpiegap_jobs::{Job, State, StepState};
use magpiegap_protocol::JobFilter;
use serde::{Deserialize, Serialize};

/// Most jobs of one list.
const MOST_LISTED: usize = 10_000;

/// Some jobs, as one coordinator has them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// The newest entry of the log that the coordinator has applied.
    pub entry: u64,
    /// The jobs, in the order of their names.
    pub jobs: Vec<JobLine>,
    /// The last job listed, where there are more after it.
    pub next: Option<String>,
}

/// One job of a list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobLine {
    /// Its name.
    pub job: String,
    /// The queue in which it was handed in.
    pub queue: String,
    /// Its state, as clients are shown it.
    pub state: String,
    /// Its priority; zero goes first.
    pub priority: u32,
    /// When it was handed in, in milliseconds since 1970.
    pub submitted_ms: u64,
    /// Tasks of all times that have fallen due and were not cleared away; none once it has ended.
    pub tasks: usize,
    /// Those of them that are done.
    pub done: usize,
    /// Runs that may be going on.
    pub running: usize,
}

impl JobList {
    /// The jobs of a state that a filter lets through.
    pub fn of(state: &State, filter: &JobFilter) -> JobList {
        let limit = (filter.limit as usize).clamp(1, MOST_LISTED);
        let after = filter
            .after
            .map_or(std::ops::Bound::Unbounded, std::ops::Bound::Excluded);
        let wanted = |job: &Job| {
            filter
                .queue
                .as_ref()
                .is_none_or(|queue| *queue == job.submission.queue)
                && filter.phase.is_none_or(|phase| phase == job.phase)
        };
        let rest = state.jobs.range((after, std::ops::Bound::Unbounded));
        let mut found = rest.map(|(_, job)| job).filter(|job| wanted(job));
        let jobs: Vec<JobLine> = found
            .by_ref()
            .take(limit)
            .map(|job| JobLine::of(job))
            .collect();
        let more = found.next().is_some();
        let next = jobs.last().filter(|_| more).map(|last| last.job.clone());
        JobList {
            entry: state.position.index.0,
            jobs,
            next,
        }
    }
}

impl JobLine {
    fn of(job: &Job) -> JobLine {
        let steps = || {
            job.occurrences
                .values()
                .flat_map(|occurrence| &occurrence.steps)
        };
        let running = |step: &StepState| {
            step.tasks
                .iter()
                .map(|task| task.active.len())
                .sum::<usize>()
        };
        let submission = &job.submission;
        JobLine {
            job: submission.job.to_string(),
            queue: submission.queue.clone(),
            state: job.phase.word().to_owned(),
            priority: submission.priority,
            submitted_ms: submission.submitted_ms.0,
            tasks: steps().map(|step| step.tasks.len()).sum(),
            done: steps().map(|step| step.done as usize).sum(),
            running: steps().map(running).sum(),
        }
    }
}
