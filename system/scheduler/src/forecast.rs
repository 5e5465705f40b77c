//! Forecasts whether a job can meet its deadline, from the work that remains on its critical path.
use magpiegap_jobs::Job;
use magpiegap_protocol::{Millis, TaskId, WallMillis};
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

/// The deadlines of a job, with the remaining work from each of its steps.
pub(crate) struct JobDeadlines<'a> {
    pub job: &'a Job,
    /// The longest chain of estimated durations from each step, in milliseconds.
    critical_paths: Vec<Millis>,
    /// Time from the start of an occurrence until its deadline, in milliseconds.
    objective_ms: Millis,
}

impl JobDeadlines<'_> {
    pub(crate) fn of(job: &Job) -> JobDeadlines<'_> {
        let submission = &job.submission;
        let critical_paths = submission.spec.critical_paths_from_steps();
        let critical_path = critical_paths.iter().max().copied().unwrap_or(0);
        let work = (critical_path as f64 * submission.stretch) as Millis;
        JobDeadlines {
            job,
            critical_paths,
            objective_ms: work.saturating_add(submission.target_latency_ms),
        }
    }

    /// The time from which the objective of an occurrence is measured.
    fn occurrence_start(&self, occurrence: u32) -> WallMillis {
        let submission = &self.job.submission;
        submission
            .spec
            .scheduled_ms(occurrence)
            .unwrap_or(submission.submitted_ms)
    }

    /// The deadline of an occurrence; a job that completes by then earns its full value.
    pub(crate) fn deadline(&self, occurrence: u32) -> WallMillis {
        self.occurrence_start(occurrence)
            .saturating_add(self.objective_ms)
    }

    pub(crate) fn latest_starts(&self, task: &TaskId) -> LatestStarts {
        let start = self.occurrence_start(task.occurrence);
        let remaining_ms = self.critical_paths.get(task.step as usize).copied();
        let remaining_ms = remaining_ms.unwrap_or(0);
        let objective_ms = self.deadline(task.occurrence).since(start);
        LatestStarts {
            on_time: self.deadline(task.occurrence).saturating_sub(remaining_ms),
            late: start
                .saturating_add(objective_ms.saturating_mul(LATE_FACTOR))
                .saturating_sub(remaining_ms),
        }
    }
}
