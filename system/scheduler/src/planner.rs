//! Decides which queued tasks are started where, in rounds of planning.
//!
//! It composes placement, backfill and preemption; each of them is a module of its own.
use crate::{
    backfill::{Backfill, Candidate},
    capacity_index::CapacityIndex,
    forecast::DeadlineForecast,
    nominations::Nominations,
    placement::{choose, Demand, Pool},
    planning_schedule::PlanningSchedule,
    preemption::{choose_victims, Preemptor, Victims},
    queue::{urgency, Queue, Queued, Urgency, URGENT_PRIORITY},
    run::{Run, RunPhase},
    run_table::RunTable,
    worker::{Worker, Workers},
};
use magpiegap_jobs::{startable_units, Job, StartableUnit, State};
use magpiegap_protocol::{JobId, Millis, Resources, RunStart, StepSpec, TaskId};
use rand::{rngs::StdRng, SeedableRng};
use std::collections::{HashMap, HashSet};

/// After this many tasks that could not be placed, the most urgent part of a round ends ...
const MAX_URGENT_MISSES: usize = 40;
/// ... and after this many more the part that goes on from where the last round ended, so that all have their turn.
const MAX_RESUMED_MISSES: usize = 20;
/// A task waits for its data's rack for at most this share of the time that running elsewhere would cost.
const MAX_LOCALITY_WAIT_SHARE: f64 = 0.6;
/// An urgent task that could not be placed for this long may preempt less urgent runs.
const PREEMPT_AFTER_MS: Millis = 100;
/// Searches for runs to preempt that may fail in one round: each considers all workers.
const MAX_FAILED_PREEMPTIONS: usize = 3;
/// At most one in this many workers is nominated at a time for those that preempted others.
const WORKERS_PER_NOMINATION: usize = 12;

/// A task or gang as a round finds it in the queue.
struct QueuedUnit {
    urgency: Urgency,
    unit: StartableUnit,
    queued_at: Millis,
}

/// A task or gang that is to be placed.
#[derive(Clone, Copy)]
struct PlannedUnit<'a> {
    job: &'a Job,
    unit: &'a StartableUnit,
    step: &'a StepSpec,
    urgency: &'a Urgency,
    /// How long it has been queued, in milliseconds.
    waited_ms: Millis,
}

/// What a round of planning has come to so far.
#[derive(Default)]
struct PlanningRound {
    runs: Vec<RunStart>,
    misses: Misses,
    /// The workers as they were when it began.
    capacity: CapacityIndex,
    /// Searches for less urgent runs to preempt that found none.
    failed_preemptions: usize,
}

/// How a search for runs to preempt went.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Preemption {
    /// Runs are being stopped.
    Begun,
    /// The task may not preempt now; nothing was searched.
    NotEligible,
    /// No runs are worth stopping for it.
    NoVictims,
}

/// Kinds of tasks that could not be placed in a round; those that need the same or more can't be placed either.
#[derive(Default)]
struct Misses {
    shapes: Vec<StepSpec>,
}

impl Misses {
    /// Whether a task needs at least what one of them needs.
    fn covers(&self, step: &StepSpec) -> bool {
        let is_covered_by = |shape: &StepSpec| {
            shape.resources.fits_in(&step.resources)
                && shape.requirements == step.requirements
                && shape.affinity == step.affinity
                && shape.estimated_ms <= step.estimated_ms
                && shape.anti_affinity == 0
                && !shape.gang
        };
        self.shapes.iter().any(is_covered_by)
    }

    /// Adds a task that could not be placed. Where no worker had capacity at all, shorter tasks can't be placed either;
    /// else reservations kept it out, which shorter ones may not delay.
    fn add(&mut self, step: &StepSpec, any_has_capacity: bool) {
        let estimated_ms = if any_has_capacity {
            step.estimated_ms
        } else {
            0
        };
        self.shapes.push(StepSpec {
            estimated_ms,
            ..step.clone()
        });
    }
}

/// Owns the queue of a service, and decides which of its tasks run where.
#[derive(Clone, Debug)]
pub(crate) struct Planner {
    pub queue: Queue,
    nominations: Nominations,
    backfill: Backfill,
    schedule: PlanningSchedule,
    /// The names of all workers, as of the last check.
    worker_names: Vec<String>,
    /// Workers on which a task has failed.
    failed_on: HashMap<TaskId, Vec<String>>,
    /// How many times as long a task takes away from its data.
    far_factor: f64,
    random: StdRng,
}

impl Planner {
    /// Creates a planner for a service where tasks take `far_factor` times as long away from their data; `seed` decides
    /// its random choices.
    pub(crate) fn new(now: Millis, far_factor: f64, seed: u64) -> Planner {
        Planner {
            queue: Queue::default(),
            nominations: Nominations::default(),
            backfill: Backfill::default(),
            schedule: PlanningSchedule::new(now),
            worker_names: Vec::new(),
            failed_on: HashMap::new(),
            far_factor,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Has a round of planning played as soon as one may be.
    pub(crate) fn request(&mut self) {
        self.schedule.request();
    }

    /// Plays a round of planning if one is due. Returns the runs to propose.
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
        runs
    }

    /// Takes the names of all workers anew, where they have changed.
    pub(crate) fn refresh_worker_names(&mut self, workers: &Workers) {
        if !workers.keys().eq(self.worker_names.iter()) {
            self.worker_names = workers.keys().cloned().collect();
        }
    }

    /// Drops all that is known of a job that the log has removed.
    pub(crate) fn forget_job(&mut self, job: JobId) {
        self.queue.remove(job);
        self.failed_on.retain(|task, _| task.job != job);
    }

    /// Records that a task has failed on a worker. Returns whether it has failed on another one before.
    pub(crate) fn record_failure(&mut self, task: TaskId, incarnation: &str) -> bool {
        let failed_on = self.failed_on.entry(task).or_default();
        let failed_elsewhere = failed_on.iter().any(|other| other != incarnation);
        if !failed_on.iter().any(|other| other == incarnation) {
            failed_on.push(incarnation.to_owned());
        }
        failed_elsewhere
    }

    /// Places the first tasks of a job that is being submitted, if there is capacity and nothing more urgent is queued.
    pub(crate) fn place_submitted(
        &mut self,
        table: &mut RunTable,
        job: &Job,
        now: Millis,
    ) -> Vec<RunStart> {
        let mut runs = Vec::new();
        for unit in startable_units(job) {
            let urgency = urgency(job, unit.first, job.submission.submitted_ms);
            if self.queue.first().is_some_and(|first| *first < urgency) {
                break;
            }
            let Some(step) = step_of(job, &unit) else {
                continue;
            };
            let planned = PlannedUnit {
                job,
                unit: &unit,
                step,
                urgency: &urgency,
                waited_ms: 0,
            };
            if let Some(mut placed) = self.place(table, &planned, None, now) {
                runs.append(&mut placed);
            }
        }
        runs
    }

    /// Plays a round of planning: places what is queued, most urgent first. Where much can't be placed, a round does not
    /// consider all of it: it goes on where the last one ended.
    fn plan(&mut self, table: &mut RunTable, now: Millis, state: &State) -> Vec<RunStart> {
        let queued = self.queued_units();
        let owners: HashSet<TaskId> = queued.iter().map(|queued| queued.urgency.task).collect();
        self.nominations.review(&owners, &table.workers, now);
        self.backfill.begin_planning_round(now);
        if queued.is_empty() {
            return Vec::new();
        }
        let mut round = PlanningRound {
            capacity: CapacityIndex::of(&table.workers, now),
            ..PlanningRound::default()
        };
        let urgent = self.plan_units(table, &queued, MAX_URGENT_MISSES, &mut round, now, state);
        if urgent < queued.len() {
            let from = self.resume_position(&queued, urgent);
            let max_misses = round.misses.shapes.len() + MAX_RESUMED_MISSES;
            let until =
                from + self.plan_units(table, &queued[from..], max_misses, &mut round, now, state);
            self.schedule.cursor = queued.get(until).map(|queued| queued.urgency);
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

    /// Where a round goes on after its most urgent part: where the last one ended, if that is later in the queue.
    fn resume_position(&self, queued: &[QueuedUnit], urgent: usize) -> usize {
        let Some(cursor) = self.schedule.cursor else {
            return urgent;
        };
        let next = queued.partition_point(|queued| queued.urgency < cursor);
        if next >= queued.len() {
            urgent
        } else {
            next.max(urgent)
        }
    }

    /// Places queued units, until so many in all could not be placed. Returns how many it has considered.
    fn plan_units(
        &mut self,
        table: &mut RunTable,
        queued: &[QueuedUnit],
        max_misses: usize,
        round: &mut PlanningRound,
        now: Millis,
        state: &State,
    ) -> usize {
        for (position, unit) in queued.iter().enumerate() {
            if round.misses.shapes.len() >= max_misses {
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
        let Some(job) = state.jobs.get(&queued.urgency.task.job) else {
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
        if round.misses.covers(step) {
            self.reserve_capacity(table, &planned, now);
            return;
        }
        if let Some(mut placed) = self.place(table, &planned, Some(&round.capacity), now) {
            self.queue.take(&queued.urgency);
            self.backfill.release(&queued.urgency);
            round.runs.append(&mut placed);
            return;
        }
        let any_has_capacity = any_worker_has_capacity(&table.workers, &round.capacity, step, now);
        round.misses.add(step, any_has_capacity);
        self.reserve_capacity(table, &planned, now);
        if round.failed_preemptions < MAX_FAILED_PREEMPTIONS
            && self.preempt(table, &planned, now) == Preemption::NoVictims
        {
            round.failed_preemptions += 1;
        }
    }

    /// Places a task or gang and takes up the capacity; in a round of planning among the workers that had free capacity
    /// when it began.
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
        let nothing = Vec::new();
        let demand = Demand {
            first: unit.first,
            require_locality: self.waits_for_locality(step, waited_ms),
            nominations: &self.nominations,
            backfill: &self.backfill,
            candidate: self.candidate(job, unit, step, urgency),
            avoid: self.failed_on.get(&unit.first).unwrap_or(&nothing),
            pool: capacity.map_or(Pool::All(&self.worker_names), Pool::WithCapacity),
        };
        let chosen = choose(&table.workers, &demand, now, &mut self.random)?;
        let runs = starts(job, unit, step, chosen);
        for start in &runs {
            let run = Run::new(job, step, start, RunPhase::Proposed, now);
            table.add_proposed(&start.incarnation, start.task, run);
        }
        Some(runs)
    }

    /// Whether a task still waits for the rack that holds its data, or a gang for one rack that takes all of it.
    fn waits_for_locality(&self, step: &StepSpec, waited_ms: Millis) -> bool {
        let extra_factor = self.far_factor - 1.0;
        (waited_ms as f64) < step.estimated_ms as f64 * extra_factor * MAX_LOCALITY_WAIT_SHARE
    }

    /// The unit as backfill sees it.
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
            far_factor: self.far_factor,
            long_running: job.submission.spec.long_running,
        }
    }

    /// Whether neither a nomination nor a reservation keeps a task from a worker.
    pub(crate) fn allows(
        &self,
        worker: &Worker,
        first: TaskId,
        candidate: &Candidate<'_>,
        now: Millis,
    ) -> bool {
        let nothing = Resources::default();
        self.nominations.allow(&worker.entry.incarnation, &first)
            && self
                .backfill
                .allows_backfill(worker, candidate, &nothing, now)
    }

    /// Reserves the capacity that frees up first for a task that could not be placed, unless it comes too late anyway,
    /// or waits for one rack to take a whole gang.
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

    /// Stops less urgent runs for a task that could not be placed, where that is worth what it loses.
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
            first: planned.unit.first,
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
        self.nominations.add(incarnation, planned.unit.first, now);
        Preemption::Begun
    }

    fn may_preempt(&self, table: &RunTable, planned: &PlannedUnit<'_>) -> bool {
        let urgency = planned.urgency;
        let is_urgent =
            urgency.priority == URGENT_PRIORITY && urgency.forecast == DeadlineForecast::OnTime;
        let max_nominations = table.workers.len().div_ceil(WORKERS_PER_NOMINATION);
        planned.unit.count == 1
            && is_urgent
            && planned.waited_ms >= PREEMPT_AFTER_MS
            && !self.nominations.has(&planned.unit.first)
            && self.nominations.len() < max_nominations
    }
}

fn step_of<'a>(job: &'a Job, unit: &StartableUnit) -> Option<&'a StepSpec> {
    job.submission.spec.steps.get(unit.first.step as usize)
}

/// Whether any schedulable worker has capacity for one task of a step, reserved for others or not.
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

/// The runs of a unit on the workers chosen for it.
fn starts(job: &Job, unit: &StartableUnit, step: &StepSpec, chosen: Vec<String>) -> Vec<RunStart> {
    let tasks = || unit.tasks().filter_map(|task| job.task(&task));
    let run = tasks().map(|task| task.last_run).max().unwrap_or(0) + 1;
    // Members of a gang all go on from the same checkpoint; any member's will do.
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
