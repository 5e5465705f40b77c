//! Forecasts whether a job can meet its deadline, from the work that remains on its critical path.
use magpiegap_jobs::Job;
use magpiegap_protocol::{TaskId, WallMillis};
use std::fmt;

/// A job that completes within this multiple of its objective still earns part of its value.
const LATE_FACTOR: u64 = 3;

/// Whether a job can still meet its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DeadlineForecast {
    /// The job can complete by its deadline.
    OnTime,
    /// The job can complete late and earn part of its value.
    Late,
    /// The job can no longer earn any value.
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

/// The latest start times of a task, assuming that it and the steps that depend on it take their estimated time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LatestStarts {
    /// Latest start for the job to complete by its deadline.
    on_time: WallMillis,
    /// Latest start for the job to earn part of its value.
    late: WallMillis,
}

impl LatestStarts {
    pub(crate) fn of(job: &Job, task: &TaskId) -> LatestStarts {
        let deadline = deadline_ms(job, task.occurrence);
        let start = period_start_ms(job, task.occurrence);
        let objective = deadline.since(start);
        let remaining_ms = job
            .submission
            .spec
            .critical_path_from_ms(task.step as usize);
        LatestStarts {
            on_time: deadline.saturating_sub(remaining_ms),
            late: start
                .saturating_add(objective.saturating_mul(LATE_FACTOR))
                .saturating_sub(remaining_ms),
        }
    }

    /// Returns the forecast for a start at the wall-clock time `wall`.
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

/// The time from which the objective of an occurrence is measured.
fn period_start_ms(job: &Job, occurrence: u32) -> WallMillis {
    job.submission
        .spec
        .scheduled_ms(occurrence)
        .unwrap_or(job.submission.submitted_ms)
}

/// The deadline of an occurrence; a job that completes by then earns its full value.
pub(crate) fn deadline_ms(job: &Job, occurrence: u32) -> WallMillis {
    let submission = &job.submission;
    let work = submission.spec.critical_path_ms() as f64 * submission.stretch;
    period_start_ms(job, occurrence)
        .saturating_add(work as u64)
        .saturating_add(submission.target_latency_ms)
}
