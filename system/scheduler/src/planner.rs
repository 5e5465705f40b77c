//! Decides in planning rounds which queued tasks start on which workers.
//!
//! It combines placement, backfill and preemption, each of which is a separate module.
use crate::{
    backfill::{Backfill, Candidate},
    capacity_index::CapacityIndex,
    failed_placements::FailedPlacements,
    forecast::{DeadlineForecast, JobDeadlines},
    nominations::Nominations,
    placement::{choose, Demand, Pool},
    planning_schedule::PlanningSchedule,
    preemption::{choose_victims, Preemptor, Victims},
    queue::{Queue, Queued, Urgency, URGENT_PRIORITY},
    run::{Run, RunPhase},
    run_table::RunTable,
    start_backoff::{RejectedBy, RejectedStarts, StartBackoff},
    worker::{Worker, Workers},
};
use magpiegap_jobs::{startable_units, Job, StartableUnit, State};
use magpiegap_protocol::{JobId, Millis, Resources, RunStart, StepSpec, TaskId};
use rand::{rngs::StdRng, SeedableRng};
use std::collections::{HashMap, HashSet};

/// Number of failed placements that ends the part of a round that starts with the most urgent tasks.
const MAX_FAILED_URGENT_PLACEMENTS: usize = 40;
/// Number of further failed placements that ends the part of a round that resumes where the last round ended; resuming
/// there keeps infeasible tasks from starving the tasks behind them.
const MAX_FAILED_RESUMED_PLACEMENTS: usize = 20;
/// A task waits for the rack of its data at most for this share of the extra time that running elsewhere would take, by
/// its client's estimate.
const MAX_LOCALITY_WAIT_SHARE: f64 = 0.6;
/// Maximum time for which a task waits for the rack of its data, whatever the estimate.
const MAX_LOCALITY_WAIT_MS: Millis = 30_000;
/// Time in the queue after which an urgent task may preempt less urgent runs.
const PREEMPT_AFTER_MS: Millis = 100;
/// Maximum number of failed searches for preemption victims in one round; each examines all workers.
const MAX_FAILED_PREEMPTIONS: usize = 3;
/// Maximum number of runs that a round starts, to bound its duration; another round follows it.
const MAX_RUNS_PER_ROUND: usize = 500;
/// Maximum number of runs that start together with the acceptance of their job.
const MAX_RUNS_AT_SUBMISSION: usize = 200;
/// Number of failed placements after which no further tasks start together with the acceptance of their job.
const MAX_FAILED_PLACEMENTS_AT_SUBMISSION: usize = 4;
/// At most one in this many workers is nominated at a time, to bound preemption.
const WORKERS_PER_NOMINATION: usize = 12;

/// A task or gang in the queue at the start of a round.
struct QueuedUnit {
    urgency: Urgency,
    unit: StartableUnit,
    queued_at: Millis,
}

/// A task or gang to place.
#[derive(Clone, Copy)]
struct PlannedUnit<'a> {
    job: &'a Job,
    unit: &'a StartableUnit,
    step: &'a StepSpec,
    urgency: &'a Urgency,
    /// Time in the queue, in milliseconds.
    waited_ms: Millis,
}

/// The state of a planning round.
#[derive(Default)]
struct PlanningRound {
    runs: Vec<RunStart>,
    failed_placements: FailedPlacements,
    /// Free capacity of the workers when the round began.
    capacity: CapacityIndex,
    /// Number of searches for preemption victims that found none.
    failed_preemptions: usize,
}

/// The result of an attempted preemption.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Preemption {
    /// The stop of the victims was requested.
    Started,
    /// The task may not preempt now; no search was made.
    NotEligible,
    /// No victims were found whose loss is acceptable.
    NoVictims,
}

/// Owns the queue of a service and decides which of its tasks run where.
#[derive(Clone, Debug)]
pub(crate) struct Planner {
    pub queue: Queue,
    nominations: Nominations,
    backfill: Backfill,
    schedule: PlanningSchedule,
    /// The incarnations of all workers, as of the last check.
    worker_names: Vec<String>,
    /// The labels of all listed workers that are not draining, among them their racks.
    available_labels: HashSet<String>,
    /// The jobs whose starts workers reject as invalid.
    start_backoff: StartBackoff,
    /// The workers on which each task has failed.
    failed_on: HashMap<TaskId, Vec<String>>,
    /// Factor by which a task takes longer when it runs away from its data.
    remote_factor: f64,
    random: StdRng,
    /// Number of queued units examined so far, by rounds and by refreshes of the queue.
    pub examined_units: u64,
}

impl Planner {
    /// Creates a planner; `remote_factor` is the slowdown of tasks away from their data and `seed` seeds random
    /// choices.
    pub(crate) fn new(now: Millis, remote_factor: f64, seed: u64) -> Planner {
        Planner {
            queue: Queue::default(),
            nominations: Nominations::default(),
            backfill: Backfill::default(),
            schedule: PlanningSchedule::new(now),
            worker_names: Vec::new(),
            available_labels: HashSet::new(),
            start_backoff: StartBackoff::default(),
            failed_on: HashMap::new(),
            remote_factor,
            random: StdRng::seed_from_u64(seed),
            examined_units: 0,
        }
    }

    /// Requests a planning round as soon as one is allowed.
    pub(crate) fn request_round(&mut self) {
        self.schedule.request_round();
    }

    /// Runs a planning round if one is due and returns the runs to propose.
    pub(crate) fn poll_round(
        &mut self,
        table: &mut RunTable,
        now: Millis,
        state: &State,
    ) -> Vec<RunStart> {
        if !self.schedule.try_begin(now) {
            return Vec::new();
        }
        let runs = self.plan(table, now, state);
        self.schedule.end_round(now, self.queue.len());
        if runs.len() >= MAX_RUNS_PER_ROUND {
            self.request_round();
        }
        runs
    }

    /// Refreshes the list of worker incarnations if it has changed.
    pub(crate) fn refresh_worker_names(&mut self, workers: &Workers) {
        if !workers.keys().eq(self.worker_names.iter()) {
            self.worker_names = workers.keys().cloned().collect();
        }
    }

    /// Updates the labels of workers that may take new runs, after the list of workers has changed.
    pub(crate) fn refresh_available_labels(&mut self, workers: &Workers) {
        let available = workers
            .values()
            .filter(|worker| worker.listed && !worker.draining);
        self.available_labels = available
            .flat_map(|worker| worker.entry.labels.iter().cloned())
            .collect();
    }

    /// Removes the planning state of a job that the log has removed.
    pub(crate) fn remove_job(&mut self, job: JobId) {
        self.queue.remove(job);
        self.start_backoff.end(job);
        self.failed_on.retain(|task, _| task.job != job);
    }

    /// Records that a task has failed on a worker. Returns whether it has failed on another worker before.
    pub(crate) fn record_failure(&mut self, task: TaskId, incarnation: &str) -> bool {
        let failed_on = self.failed_on.entry(task).or_default();
        let failed_elsewhere = failed_on.iter().any(|other| other != incarnation);
        if !failed_on.iter().any(|other| other == incarnation) {
            failed_on.push(incarnation.to_owned());
        }
        failed_elsewhere
    }

    /// Records that a worker has rejected the start of a task as invalid.
    pub(crate) fn record_rejected_start(
        &mut self,
        task: TaskId,
        incarnation: &str,
        now: Millis,
    ) -> RejectedBy {
        self.record_failure(task, incarnation);
        let random = &mut self.random;
        self.start_backoff
            .record_rejection(task.job, incarnation, now, random)
    }

    /// Records that a start of a job has succeeded.
    pub(crate) fn record_successful_start(&mut self, job: JobId) {
        if self.start_backoff.end(job) {
            self.request_round();
        }
    }

    /// The rejected starts of a job; `None` if its last start was not rejected.
    pub(crate) fn rejected_starts(&self, job: JobId) -> Option<&RejectedStarts> {
        self.start_backoff.of(job)
    }

    /// Number of jobs whose starts are rejected.
    pub(crate) fn rejected_jobs(&self) -> usize {
        self.start_backoff.len()
    }

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

    /// Runs a planning round: places queued tasks in order of urgency. A round with many failed placements does not
    /// examine the whole queue; the next one resumes where it ended.
    fn plan(&mut self, table: &mut RunTable, now: Millis, state: &State) -> Vec<RunStart> {
        let queued = self.queued_units();
        self.examined_units += queued.len() as u64;
        let is_queued = |task: &TaskId| self.queue.contains(task);
        self.nominations
            .retain_valid(is_queued, &table.workers, now);
        self.backfill.begin_planning_round(now);
        if queued.is_empty() {
            return Vec::new();
        }
        let mut round = PlanningRound {
            capacity: CapacityIndex::of(&table.workers, now),
            ..PlanningRound::default()
        };
        let urgent_end = self.plan_units(
            table,
            &queued,
            MAX_FAILED_URGENT_PLACEMENTS,
            &mut round,
            now,
            state,
        );
        if urgent_end < queued.len() {
            let resumed_start = self.resume_position(&queued, urgent_end);
            let max_failed = round.failed_placements.len() + MAX_FAILED_RESUMED_PLACEMENTS;
            let resumed_end = resumed_start
                + self.plan_units(
                    table,
                    &queued[resumed_start..],
                    max_failed,
                    &mut round,
                    now,
                    state,
                );
            self.schedule.cursor = queued.get(resumed_end).map(|queued| queued.urgency);
        }
        round.runs
    }

    fn queued_units(&self) -> Vec<QueuedUnit> {
        let queued_unit = |(urgency, queued): (&Urgency, &Queued)| QueuedUnit {
            urgency: *urgency,
            unit: queued.unit.clone(),
            queued_at: queued.queued_at,
        };
        self.queue.iter().map(queued_unit).collect()
    }

    /// The queue position at which a round continues after its most urgent part: where the last round ended, if that is
    /// further back.
    fn resume_position(&self, queued: &[QueuedUnit], urgent_end: usize) -> usize {
        let Some(cursor) = self.schedule.cursor else {
            return urgent_end;
        };
        let next = queued.partition_point(|queued| queued.urgency < cursor);
        if next >= queued.len() {
            urgent_end
        } else {
            next.max(urgent_end)
        }
    }

    /// Places queued units until the round has `max_failed` failed placements. Returns the number of units examined.
    fn plan_units(
        &mut self,
        table: &mut RunTable,
        queued: &[QueuedUnit],
        max_failed: usize,
        round: &mut PlanningRound,
        now: Millis,
        state: &State,
    ) -> usize {
        for (position, unit) in queued.iter().enumerate() {
            if round.failed_placements.len() >= max_failed || round.runs.len() >= MAX_RUNS_PER_ROUND
            {
                return position;
            }
            self.plan_unit(table, unit, round, now, state);
        }
        queued.len()
    }

    fn plan_unit(
        &mut self,
        table: &mut RunTable,
        queued: &QueuedUnit,
        round: &mut PlanningRound,
        now: Millis,
        state: &State,
    ) {
        let id = queued.urgency.task.job;
        if self.start_backoff.is_backing_off(id, now) {
            return;
        }
        let Some(job) = state.jobs.get(&id) else {
            return;
        };
        let Some(step) = step_of(job, &queued.unit) else {
            return;
        };
        let planned = PlannedUnit {
            job,
            unit: &queued.unit,
            step,
            urgency: &queued.urgency,
            waited_ms: now.saturating_sub(queued.queued_at),
        };
        if round.failed_placements.covers(step) {
            self.reserve_capacity(table, &planned, now);
            return;
        }
        if let Some(mut placed) = self.place(table, &planned, Some(&round.capacity), now) {
            self.queue.take(&queued.urgency);
            self.start_backoff.record_attempt(id, now);
            self.backfill.release(&queued.urgency);
            round.runs.append(&mut placed);
            return;
        }
        let any_has_capacity = any_worker_has_capacity(&table.workers, &round.capacity, step, now);
        round.failed_placements.add(step, any_has_capacity);
        self.reserve_capacity(table, &planned, now);
        if round.failed_preemptions < MAX_FAILED_PREEMPTIONS
            && self.preempt(table, &planned, now) == Preemption::NoVictims
        {
            round.failed_preemptions += 1;
        }
    }

    /// Places a task or gang and allocates its capacity, on workers from `capacity` if given, otherwise on any worker.
    fn place(
        &mut self,
        table: &mut RunTable,
        planned: &PlannedUnit<'_>,
        capacity: Option<&CapacityIndex>,
        now: Millis,
    ) -> Option<Vec<RunStart>> {
        let PlannedUnit {
            job,
            unit,
            step,
            urgency,
            waited_ms,
        } = *planned;
        let no_workers = Vec::new();
        let demand = Demand {
            first: unit.first_task,
            require_locality: self.waits_for_locality(step, waited_ms),
            nominations: &self.nominations,
            backfill: &self.backfill,
            candidate: self.candidate(job, unit, step, urgency),
            avoid: self.failed_on.get(&unit.first_task).unwrap_or(&no_workers),
            pool: capacity.map_or(Pool::All(&self.worker_names), Pool::WithCapacity),
        };
        let chosen = choose(&table.workers, &demand, now, &mut self.random)?;
        let runs = run_starts(job, unit, step, chosen);
        for start in &runs {
            let run = Run::new(job, step, start, RunPhase::Proposed, now);
            table.add_proposed(&start.incarnation, start.task, run);
        }
        Some(runs)
    }

    /// Whether a task still waits for the rack that holds its data, or a rack-local gang for a single rack that fits
    /// all its tasks. No task waits for a rack without workers.
    fn waits_for_locality(&self, step: &StepSpec, waited_ms: Millis) -> bool {
        let is_rack_available = step
            .affinity
            .as_ref()
            .is_none_or(|rack| self.available_labels.contains(rack));
        let slowdown = self.remote_factor - 1.0;
        let max_wait_ms = step.estimated_ms as f64 * slowdown * MAX_LOCALITY_WAIT_SHARE;
        is_rack_available && waited_ms < MAX_LOCALITY_WAIT_MS && (waited_ms as f64) < max_wait_ms
    }

    /// Describes a unit for backfill.
    pub(crate) fn candidate<'a>(
        &self,
        job: &Job,
        unit: &StartableUnit,
        step: &'a StepSpec,
        urgency: &'a Urgency,
    ) -> Candidate<'a> {
        Candidate {
            step,
            urgency,
            count: unit.count,
            remote_factor: self.remote_factor,
            long_running: job.submission.spec.long_running,
        }
    }

    /// Whether neither nominations nor reservations keep a task from a worker.
    pub(crate) fn allows(
        &self,
        worker: &Worker,
        first: TaskId,
        candidate: &Candidate<'_>,
        now: Millis,
    ) -> bool {
        let no_resources = Resources::default();
        self.nominations.allow(&worker.entry.incarnation, &first)
            && self
                .backfill
                .allows_backfill(worker, candidate, &no_resources, now)
    }

    /// Reserves the earliest available capacity for a task that could not be placed, unless the task is too late anyway
    /// or waits for a single rack to fit a gang.
    fn reserve_capacity(&mut self, table: &RunTable, planned: &PlannedUnit<'_>, now: Millis) {
        let PlannedUnit {
            job,
            unit,
            step,
            urgency,
            waited_ms,
        } = *planned;
        let is_rack_gang = unit.count > 1 && step.rack_local;
        if urgency.forecast == DeadlineForecast::TooLate
            || is_rack_gang && self.waits_for_locality(step, waited_ms)
            || !self.backfill.accepts_more()
        {
            return;
        }
        let candidate = self.candidate(job, unit, step, urgency);
        self.backfill.reserve(&table.workers, &candidate, now);
    }

    /// Requests the stop of less urgent runs for a task that could not be placed, if the work lost is acceptable.
    fn preempt(
        &mut self,
        table: &mut RunTable,
        planned: &PlannedUnit<'_>,
        now: Millis,
    ) -> Preemption {
        if !self.may_preempt(table, planned) {
            return Preemption::NotEligible;
        }
        let preemptor = Preemptor {
            first: planned.unit.first_task,
            step: planned.step,
            priority: planned.urgency.priority,
        };
        let victims = choose_victims(&table.workers, &self.nominations, &preemptor, now);
        let Some(Victims {
            incarnation, tasks, ..
        }) = victims
        else {
            return Preemption::NoVictims;
        };
        if let Some(worker) = table.workers.get_mut(&incarnation) {
            for task in tasks {
                if let Some(run) = worker.runs.get_mut(&task) {
                    run.next_stop_at = Some(now);
                }
            }
        }
        table.mark_order_due(&incarnation);
        self.nominations
            .add(incarnation, planned.unit.first_task, now);
        Preemption::Started
    }

    fn may_preempt(&self, table: &RunTable, planned: &PlannedUnit<'_>) -> bool {
        let urgency = planned.urgency;
        let is_urgent =
            urgency.priority == URGENT_PRIORITY && urgency.forecast == DeadlineForecast::OnTime;
        let max_nominations = table.workers.len().div_ceil(WORKERS_PER_NOMINATION);
        planned.unit.count == 1
            && is_urgent
            && planned.waited_ms >= PREEMPT_AFTER_MS
            && !self.nominations.has(&planned.unit.first_task)
            && self.nominations.len() < max_nominations
    }
}

fn step_of<'a>(job: &'a Job, unit: &StartableUnit) -> Option<&'a StepSpec> {
    job.submission.spec.steps.get(unit.first_task.step as usize)
}

/// Whether any schedulable worker has capacity for one task of a step, ignoring reservations.
fn any_worker_has_capacity(
    workers: &Workers,
    capacity: &CapacityIndex,
    step: &StepSpec,
    now: Millis,
) -> bool {
    capacity
        .with_capacity(workers, step.resources.cpu)
        .any(|worker| {
            worker.has_capacity_for(&step.resources)
                && worker.is_schedulable(now)
                && worker.has_labels(&step.requirements)
        })
}

/// The runs of a unit on its chosen workers.
fn run_starts(
    job: &Job,
    unit: &StartableUnit,
    step: &StepSpec,
    chosen: Vec<String>,
) -> Vec<RunStart> {
    let tasks = || unit.tasks().filter_map(|task| job.task(&task));
    let run = tasks().map(|task| task.last_run).max().unwrap_or(0) + 1;
    // All members of a gang resume from the same checkpoint, which may be that of any member.
    let shared = tasks().map(|task| task.checkpoint.as_str()).max();
    let checkpoint = shared.filter(|_| step.checkpoints).unwrap_or("");
    let start = |(task, incarnation)| RunStart {
        task,
        run,
        incarnation,
        checkpoint: checkpoint.to_owned(),
    };
    unit.tasks().zip(chosen).map(start).collect()
}
