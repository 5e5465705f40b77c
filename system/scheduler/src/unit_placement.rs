//! Places a task or gang on workers, or reserves capacity for it.
use crate::{
    backfill::Candidate,
    capacity_index::CapacityIndex,
    forecast::DeadlineForecast,
    placement::{choose, Demand, Pool},
    planned_unit::PlannedUnit,
    planner::Planner,
    queue::Urgency,
    run::{Run, RunPhase},
    run_table::RunTable,
    worker::Worker,
};
use magpiegap_jobs::{Job, StartableUnit};
use magpiegap_protocol::{Millis, Resources, RunStart, StepSpec, TaskId};

impl Planner {
    /// Places a task or gang and allocates its capacity, on workers from `capacity` if given, otherwise on any worker.
    pub(crate) fn place(
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
            require_locality: self.locality.is_waited_for(step, waited_ms),
            nominations: &self.nominations,
            backfill: &self.backfill,
            candidate: self.candidate(job, unit, step, urgency),
            avoid: self.failed_on.get(&unit.first_task).unwrap_or(&no_workers),
            pool: capacity.map_or(Pool::All(&self.worker_names), Pool::WithCapacity),
        };
        let chosen = choose(&table.workers, &demand, now, &mut self.random)?;
        let runs = planned.run_starts(chosen);
        for start in &runs {
            let run = Run::new(job, step, start, RunPhase::Proposed, now);
            table.add_proposed(&start.incarnation, start.task, run);
        }
        Some(runs)
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
            remote_factor: self.locality.remote_factor(),
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
    pub(crate) fn reserve_capacity(
        &mut self,
        table: &RunTable,
        planned: &PlannedUnit<'_>,
        now: Millis,
    ) {
        let PlannedUnit {
            job,
            unit,
            step,
            urgency,
            waited_ms,
        } = *planned;
        let is_rack_gang = unit.count > 1 && step.rack_local;
        if urgency.forecast == DeadlineForecast::TooLate
            || is_rack_gang && self.locality.is_waited_for(step, waited_ms)
            || !self.backfill.accepts_more()
        {
            return;
        }
        let candidate = self.candidate(job, unit, step, urgency);
        self.backfill.reserve(&table.workers, &candidate, now);
    }
}
