//! Preemption: chooses runs whose stop makes capacity for a more urgent task, and requests it.
use crate::{
    forecast::DeadlineForecast,
    nominations::Nominations,
    planned_unit::PlannedUnit,
    planner::Planner,
    queue::URGENT_PRIORITY,
    run::Run,
    run_table::RunTable,
    worker::{Worker, Workers},
};
use magpiegap_protocol::{Millis, StepSpec, TaskId};

/// Time in the queue after which an urgent task may preempt less urgent runs.
const PREEMPT_AFTER_MS: Millis = 100;
/// At most one in this many workers is nominated at a time, to bound preemption.
const WORKERS_PER_NOMINATION: usize = 12;
/// Maximum work that may be lost to place one task, in millicore-milliseconds.
const MAX_LOSS: u64 = 6_000_000;
/// Cost of restarting from a checkpoint, in milliseconds.
const RESTORE_MS: Millis = 600;
/// Number of millicores that a GPU counts as.
const GPU_AS_CPU: u64 = 8000;
/// Runs with at least this progress are not preempted.
const NEARLY_DONE_PERCENT: u64 = 80;

/// The result of an attempted preemption.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Preemption {
    /// The stop of the victims was requested.
    Started,
    /// The task may not preempt now; no search was made.
    NotEligible,
    /// No victims were found whose loss is acceptable.
    NoVictims,
}

/// The runs to stop, all on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Victims {
    incarnation: String,
    tasks: Vec<TaskId>,
    /// The work that is lost, in millicore-milliseconds.
    loss: u64,
}

/// A task that may preempt runs.
#[derive(Clone, Copy, Debug)]
struct Preemptor<'a> {
    first: TaskId,
    step: &'a StepSpec,
    /// Only runs with a higher priority number, which are less urgent, may be preempted.
    priority: u32,
}

impl Planner {
    /// Requests the stop of less urgent runs for a task that could not be placed, if the work lost is acceptable.
    pub(crate) fn preempt(
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

/// Chooses the less urgent runs whose stop makes capacity for a task with the least work lost.
fn choose_victims(
    workers: &Workers,
    nominations: &Nominations,
    preemptor: &Preemptor<'_>,
    now: Millis,
) -> Option<Victims> {
    let step = preemptor.step;
    let is_eligible = |worker: &&Worker| {
        worker.is_schedulable(now)
            && !worker.health.is_on_probation(now)
            && worker.has_labels(&step.requirements)
            && step.resources.fits_in(&worker.entry.capacity)
            && nominations.allow(&worker.entry.incarnation, &preemptor.first)
    };
    workers
        .values()
        .filter(is_eligible)
        .filter_map(|worker| victims_on(worker, preemptor, now))
        .min_by_key(|victims| victims.loss)
}

/// The runs to stop on one worker, chosen in ascending order of work lost.
fn victims_on(worker: &Worker, preemptor: &Preemptor<'_>, now: Millis) -> Option<Victims> {
    let mut candidates: Vec<(&TaskId, &Run)> = worker
        .runs
        .iter()
        .filter(|(_, run)| is_preemptible(run, preemptor.priority))
        .collect();
    candidates.sort_by_key(|(task, run)| (loss_of(run, now), **task));
    let required = &preemptor.step.resources;
    let capacity = &worker.entry.capacity;
    let mut used = worker.used;
    let mut victims = Victims {
        incarnation: worker.entry.incarnation.clone(),
        tasks: Vec::new(),
        loss: 0,
    };
    for (task, run) in candidates {
        if required.saturating_add(&used).fits_in(capacity) {
            break;
        }
        used = used.saturating_sub(&run.resources);
        victims.loss += loss_of(run, now);
        victims.tasks.push(*task);
    }
    let is_sufficient =
        required.saturating_add(&used).fits_in(capacity) && !victims.tasks.is_empty();
    (is_sufficient && victims.loss <= MAX_LOSS).then_some(victims)
}

fn is_preemptible(run: &Run, priority: u32) -> bool {
    run.priority > priority
        && run.is_started_and_not_stopping()
        && !run.gang
        && !run.long_running
        && run.progress.percent < NEARLY_DONE_PERCENT
}

/// The work lost by stopping a run, in millicore-milliseconds.
fn loss_of(run: &Run, now: Millis) -> u64 {
    let elapsed_ms = now.saturating_sub(run.started_at);
    let lost_ms = if run.checkpoints {
        elapsed_ms.min(RESTORE_MS)
    } else {
        elapsed_ms
    };
    lost_ms * (run.resources.cpu + GPU_AS_CPU * run.resources.gpu)
}
