//! Planning rounds: places the queued tasks in order of urgency, and bounds how many each round examines.
use crate::{
    capacity_index::CapacityIndex,
    failed_placements::FailedPlacements,
    planned_unit::{step_of, PlannedUnit, QueuedUnit},
    planner::Planner,
    preemption::Preemption,
    queue::{Queued, Urgency},
    run_table::RunTable,
    worker::Workers,
};
use magpiegap_jobs::State;
use magpiegap_protocol::{Millis, RunStart, StepSpec, TaskId};

/// Number of failed placements that ends the part of a round that starts with the most urgent tasks.
const MAX_FAILED_URGENT_PLACEMENTS: usize = 40;
/// Number of further failed placements that ends the part of a round that resumes where the last round ended; resuming
/// there keeps infeasible tasks from starving the tasks behind them.
const MAX_FAILED_RESUMED_PLACEMENTS: usize = 20;
/// Maximum number of failed searches for preemption victims in one round; each examines all workers.
const MAX_FAILED_PREEMPTIONS: usize = 3;
/// Maximum number of runs that a round starts, to bound its duration; another round follows it.
const MAX_RUNS_PER_ROUND: usize = 500;

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

impl Planner {
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
