//! What can still come of a job, by how much of it is left to do.
use magpiegap_jobs::Job;
use magpiegap_protocol::{TaskId, WallMillis};
use std::fmt;

/// A job done within this many times its objective still earns a part of its worth.
const LATE_FACTOR: u64 = 3;

/// What can still come of a job's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DeadlineForecast {
    /// It can be done in time.
    OnTime,
    /// It can be done late, for a part of its worth.
    Late,
    /// It comes too late whatever is done.
    TooLate,
}

impl fmt::Display for DeadlineForecast {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DeadlineForecast::OnTime => "in time",
            DeadlineForecast::Late => "late",
            DeadlineForecast::TooLate => "too late",
        })
    }
}

/// Until when a task may begin, if all that comes after it takes as long as the client guesses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LatestStarts {
    /// So that its job is done in time.
    on_time: WallMillis,
    /// So that its job still earns a part of its worth.
    late: WallMillis,
}

impl LatestStarts {
    /// Those of a task.
    pub(crate) fn of(job: &Job, task: &TaskId) -> LatestStarts {
        let due = deadline_ms(job, task.occurrence);
        let begin = period_start_ms(job, task.occurrence);
        let objective = due.since(begin);
        let left = job.submission.spec.chain_from_ms(task.step as usize);
        LatestStarts {
            on_time: due.saturating_sub(left),
            late: begin
                .saturating_add(objective.saturating_mul(LATE_FACTOR))
                .saturating_sub(left),
        }
    }

    /// What can still come of the job at this time of day.
    pub(crate) fn forecast(&self, wall: WallMillis) -> DeadlineForecast {
        if wall <= self.on_time {
            DeadlineForecast::OnTime
        } else if wall <= self.late {
            DeadlineForecast::Late
        } else {
            DeadlineForecast::TooLate
        }
    }
}

/// When a time of a job counts from.
fn period_start_ms(job: &Job, occurrence: u32) -> WallMillis {
    job.submission
        .spec
        .scheduled_ms(occurrence)
        .unwrap_or(job.submission.submitted_ms)
}

/// When a time of a job should be done so that the job earns its worth.
pub(crate) fn deadline_ms(job: &Job, occurrence: u32) -> WallMillis {
    let submission = &job.submission;
    let work = submission.spec.longest_chain_ms() as f64 * submission.stretch;
    period_start_ms(job, occurrence)
        .saturating_add(work as u64)
        .saturating_add(submission.target_latency_ms)
}
