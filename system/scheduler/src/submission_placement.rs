//! Places the first tasks of a job together with its acceptance.
use crate::{
    failed_placements::FailedPlacements,
    forecast::JobDeadlines,
    planned_unit::{step_of, PlannedUnit},
    planner::Planner,
    run_table::RunTable,
};
use magpiegap_jobs::{startable_units, Job};
use magpiegap_protocol::{Millis, RunStart};

/// Maximum number of runs that start together with the acceptance of their job.
const MAX_RUNS_AT_SUBMISSION: usize = 200;
/// Number of failed placements after which no further tasks start together with the acceptance of their job.
const MAX_FAILED_PLACEMENTS_AT_SUBMISSION: usize = 4;

impl Planner {
    /// Places the first tasks of a job that is being submitted, if there is capacity and no more urgent task is queued.
    pub(crate) fn place_submitted(
        &mut self,
        table: &mut RunTable,
        job: &Job,
        now: Millis,
    ) -> Vec<RunStart> {
        let mut runs = Vec::new();
        let mut failed = FailedPlacements::default();
        let deadlines = JobDeadlines::of(job);
        for unit in startable_units(job) {
            let is_enough = runs.len() >= MAX_RUNS_AT_SUBMISSION
                || failed.len() >= MAX_FAILED_PLACEMENTS_AT_SUBMISSION;
            let urgency = deadlines.urgency(unit.first_task, job.submission.submitted_ms);
            if is_enough || self.queue.first().is_some_and(|first| *first < urgency) {
                break;
            }
            let Some(step) = step_of(job, &unit) else {
                continue;
            };
            if failed.covers(step) {
                continue;
            }
            let planned = PlannedUnit {
                job,
                unit: &unit,
                step,
                urgency: &urgency,
                waited_ms: 0,
            };
            match self.place(table, &planned, None, now) {
                Some(mut placed) => runs.append(&mut placed),
                None => failed.add(step, false),
            }
        }
        runs
    }
}
