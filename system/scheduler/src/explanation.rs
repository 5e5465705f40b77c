//! Explains a job to operators: its running and queued tasks, and why no worker accepts the queued ones.
//!
//! Read-only. The JSON field names are part of the operator interface and must not change.
use crate::{backfill::Candidate, forecast::JobDeadlines, scheduler::Scheduler, worker::Worker};
use magpiegap_jobs::{startable_units, Job, StartableUnit, State, StepState, TaskState};
use magpiegap_protocol::{JobId, Millis, StepSpec, TaskId};
use serde::Serialize;
use std::collections::BTreeMap;

/// The state of a job as seen by its scheduler.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The job's name.
    pub job: String,
    /// The job's state as shown to clients.
    pub state: &'static str,
    /// The job's queue.
    pub queue: String,
    /// The service whose workers run the job.
    pub service: String,
    /// The deadline forecast of its first startable task: `in time`, `late` or `too late`; `None` if no task is
    /// startable.
    #[serde(rename = "outlook")]
    pub forecast: Option<String>,
    /// The starts of the job that workers reject as invalid; `None` if its last start was not rejected.
    pub rejected_starts: Option<RejectedStartsExplanation>,
    /// The unfinished steps of the open occurrences.
    pub steps: Vec<StepExplanation>,
}

/// The starts of a job that workers reject as invalid (400).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct RejectedStartsExplanation {
    /// Number of attempts that were rejected since a start has last succeeded.
    pub attempts: u32,
    /// Time until the next attempt, in milliseconds.
    pub retry_in_ms: Millis,
}

/// A step of one occurrence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StepExplanation {
    /// The occurrence, counted from zero.
    #[serde(rename = "time")]
    pub occurrence: u32,
    /// The step's position in the job, counted from zero.
    pub step: u32,
    /// Number of tasks in the step.
    pub tasks: usize,
    /// Number of tasks that are done.
    pub done: u32,
    /// Active runs.
    pub running: Vec<RunExplanation>,
    /// Number of queued tasks.
    pub waiting: u32,
    /// Dependencies of this step that are not done yet.
    pub waits_for_steps: Vec<u32>,
    /// Workers by the obstacle to placing the first queued task; `None` if no task is queued.
    pub workers: Option<WorkerCounts>,
}

/// An active run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RunExplanation {
    /// The task.
    pub task: String,
    /// The run's number.
    pub run: u32,
    /// The worker's incarnation.
    pub worker: String,
    /// Progress in percent; `None` if the scheduler does not track the run.
    pub percent: Option<u64>,
}

/// The workers of the service, each counted under the first obstacle that applies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct WorkerCounts {
    /// All workers.
    pub known: usize,
    /// Workers that the platform no longer lists.
    pub not_listed: usize,
    /// Draining workers.
    pub draining: usize,
    /// Workers that did not reply to recent calls or have not been called yet.
    #[serde(rename = "not_answering")]
    pub unresponsive: usize,
    /// Workers that are ejected because their runs failed or made no progress.
    #[serde(rename = "left_alone")]
    pub ejected: usize,
    /// Workers on probation after an ejection that already have the one run that they may take.
    pub on_probation: usize,
    /// Workers that lack a label required by the step.
    pub without_label: usize,
    /// Workers whose total capacity is too small.
    pub too_small: usize,
    /// Workers whose free capacity is too small.
    #[serde(rename = "without_room")]
    pub without_capacity: usize,
    /// Workers with capacity reserved for other tasks.
    #[serde(rename = "kept_for_others")]
    pub reserved_for_others: usize,
    /// Workers outside the rack that holds the data.
    #[serde(rename = "away_from_data")]
    pub non_local: usize,
    /// Workers without an obstacle; the task can be placed there in the next planning round.
    pub free: usize,
}

impl Scheduler {
    /// Explains a job; `None` if the service has no such job.
    pub fn explain(&self, state: &State, id: JobId) -> Option<Explanation> {
        let job = state
            .jobs
            .get(&id)
            .filter(|job| job.submission.service == self.service)?;
        let queued = startable_units(job);
        let deadlines = JobDeadlines::of(job);
        let forecast = queued.first().map(|unit| {
            deadlines
                .latest_starts(&unit.first_task)
                .forecast(self.wall)
        });
        let mut by_step: BTreeMap<(u32, u32), Vec<StartableUnit>> = BTreeMap::new();
        for unit in queued {
            let TaskId {
                occurrence, step, ..
            } = unit.first_task;
            by_step.entry((occurrence, step)).or_default().push(unit);
        }
        let mut steps = Vec::new();
        for (occurrence, state) in &job.occurrences {
            for (position, step) in state.steps.iter().enumerate() {
                if step.is_done() {
                    continue;
                }
                let first = TaskId {
                    job: id,
                    occurrence: *occurrence,
                    step: position as u32,
                    index: 0,
                };
                let units = by_step.get(&(first.occurrence, first.step));
                let units = units.map_or(&[][..], Vec::as_slice);
                steps.push(self.explain_step(&deadlines, first, step, units));
            }
        }
        Some(Explanation {
            job: id.to_string(),
            state: job.phase.as_str(),
            queue: job.submission.queue.clone(),
            service: self.service.clone(),
            forecast: forecast.map(|forecast| forecast.to_string()),
            rejected_starts: self.explain_rejected_starts(id),
            steps,
        })
    }

    fn explain_rejected_starts(&self, job: JobId) -> Option<RejectedStartsExplanation> {
        let rejected = self.planner.start_backoff.of(job)?;
        Some(RejectedStartsExplanation {
            attempts: rejected.attempts,
            retry_in_ms: rejected.retry_at.saturating_sub(self.now),
        })
    }

    /// Explains the step whose first task is `first`.
    fn explain_step(
        &self,
        deadlines: &JobDeadlines<'_>,
        first: TaskId,
        step: &StepState,
        units: &[StartableUnit],
    ) -> StepExplanation {
        let job = deadlines.job;
        let spec = job.submission.spec.steps.get(first.step as usize);
        let first_unit = units.first().zip(spec);
        StepExplanation {
            occurrence: first.occurrence,
            step: first.step,
            tasks: step.tasks.len(),
            done: step.done,
            running: self.explain_runs(first, &step.tasks),
            waiting: units.iter().map(|unit| unit.count).sum(),
            waits_for_steps: unfinished_dependencies(job, first.occurrence, spec),
            workers: first_unit.map(|(unit, spec)| self.count_workers(deadlines, unit, spec)),
        }
    }

    fn explain_runs(&self, first: TaskId, tasks: &[TaskState]) -> Vec<RunExplanation> {
        let mut runs = Vec::new();
        for (index, task) in tasks.iter().enumerate() {
            let id = TaskId {
                index: index as u32,
                ..first
            };
            for active in &task.active_runs {
                let known = self
                    .table
                    .workers
                    .get(&active.incarnation)
                    .and_then(|worker| worker.runs.get(&id));
                runs.push(RunExplanation {
                    task: id.to_string(),
                    run: active.run,
                    worker: active.incarnation.clone(),
                    percent: known.map(|run| run.progress.percent),
                });
            }
        }
        runs
    }

    fn count_workers(
        &self,
        deadlines: &JobDeadlines<'_>,
        unit: &StartableUnit,
        step: &StepSpec,
    ) -> WorkerCounts {
        let urgency = deadlines.urgency(unit.first_task, self.wall);
        let candidate = self.planner.candidate(deadlines.job, unit, step, &urgency);
        let mut counts = WorkerCounts {
            known: self.table.workers.len(),
            ..WorkerCounts::default()
        };
        for worker in self.table.workers.values() {
            *self.first_obstacle(&mut counts, worker, unit.first_task, &candidate) += 1;
        }
        counts
    }

    /// The counter for the first obstacle to placing a task on a worker.
    fn first_obstacle<'a>(
        &self,
        counts: &'a mut WorkerCounts,
        worker: &Worker,
        first: TaskId,
        candidate: &Candidate<'_>,
    ) -> &'a mut usize {
        let step = candidate.step;
        if !worker.listed {
            &mut counts.not_listed
        } else if worker.draining {
            &mut counts.draining
        } else if !worker.is_responsive() {
            &mut counts.unresponsive
        } else if !worker.health.is_schedulable(self.now) {
            &mut counts.ejected
        } else if worker.is_limited_by_probation(0, self.now) {
            &mut counts.on_probation
        } else if !worker.has_labels(&step.requirements) {
            &mut counts.without_label
        } else if !step.resources.fits_in(&worker.entry.capacity) {
            &mut counts.too_small
        } else if !worker.has_capacity_for(&step.resources) {
            &mut counts.without_capacity
        } else if !self.planner.allows(worker, first, candidate, self.now) {
            &mut counts.reserved_for_others
        } else if step
            .affinity
            .as_ref()
            .is_some_and(|rack| !worker.has_label(rack))
        {
            &mut counts.non_local
        } else {
            &mut counts.free
        }
    }
}

/// The dependencies of a step that are not done in an occurrence.
fn unfinished_dependencies(job: &Job, occurrence: u32, step: Option<&StepSpec>) -> Vec<u32> {
    let (Some(step), Some(occurrence)) = (step, job.occurrences.get(&occurrence)) else {
        return Vec::new();
    };
    let is_unfinished = |dependency: &u32| {
        let dependency = occurrence.steps.get(*dependency as usize);
        dependency.is_some_and(|dependency| !dependency.is_done())
    };
    step.depends_on
        .iter()
        .copied()
        .filter(is_unfinished)
        .collect()
}
