//! Chooses runs to preempt to make capacity for a more urgent task.
use crate::{
    nominations::Nominations,
    run::Run,
    worker::{Worker, Workers},
};
use magpiegap_protocol::{Millis, StepSpec, TaskId};

/// Maximum work that may be lost to place one task, in millicore-milliseconds.
const MAX_LOSS: u64 = 6_000_000;
/// Cost of restarting from a checkpoint, in milliseconds.
const RESTORE_MS: Millis = 600;
/// Number of millicores that a GPU counts as.
const GPU_AS_CPU: u64 = 8000;
/// Runs with at least this progress are not preempted.
const NEARLY_DONE_PERCENT: u64 = 80;

/// The runs to stop, all on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Victims {
    pub incarnation: String,
    pub tasks: Vec<TaskId>,
    /// The work that is lost, in millicore-milliseconds.
    loss: u64,
}

/// A task that may preempt runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Preemptor<'a> {
    pub first: TaskId,
    pub step: &'a StepSpec,
    /// Only runs with a higher priority number, which are less urgent, may be preempted.
    pub priority: u32,
}

/// Chooses the less urgent runs whose stop makes capacity for a task with the least work lost.
pub(crate) fn choose_victims(
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
