//! Forecasts whether a job meets its deadline, by how much of it is left to do.
use magpiegap_jobs::Job;
use magpiegap_protocol::{TaskId, WallMillis};
use std::fmt;

/// A job done within this many times its objective still earns a part of its value.
const LATE_FACTOR: u64 = 3;

/// Whether a job can still meet its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DeadlineForecast {
    /// It can be done in time.
    OnTime,
    /// It can be done late, for a part of its value.
    Late,
    /// It is too late whatever is done.
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

/// Until when a task may begin, if all that comes after it takes as long as the client estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LatestStarts {
    /// So that its job is done in time.
    on_time: WallMillis,
    /// So that its job still earns a part of its value.
    late: WallMillis,
}

impl LatestStarts {
    /// Computes those of a task.
    pub(crate) fn of(job: &Job, task: &TaskId) -> LatestStarts {
        let due = deadline_ms(job, task.occurrence);
        let begin = period_start_ms(job, task.occurrence);
        let objective = due.since(begin);
        let left = job
            .submission
            .spec
            .critical_path_from_ms(task.step as usize);
        LatestStarts {
            on_time: due.saturating_sub(left),
            late: begin
                .saturating_add(objective.saturating_mul(LATE_FACTOR))
                .saturating_sub(left),
        }
    }

    /// The forecast at this time of day.
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

/// When the time of an occurrence counts from.
fn period_start_ms(job: &Job, occurrence: u32) -> WallMillis {
    job.submission
        .spec
        .scheduled_ms(occurrence)
        .unwrap_or(job.submission.submitted_ms)
}

/// The deadline of an occurrence: done by then, the job earns its full value.
pub(crate) fn deadline_ms(job: &Job, occurrence: u32) -> WallMillis {
    let submission = &job.submission;
    let work = submission.spec.critical_path_ms() as f64 * submission.stretch;
    period_start_ms(job, occurrence)
        .saturating_add(work as u64)
        .saturating_add(submission.target_latency_ms)
}
