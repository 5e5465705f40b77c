//! Which runs to stop so that a more urgent task finds room.
use crate::{
    nominations::Nominations,
    run::Run,
    worker::{Worker, Workers},
};
use magpiegap_protocol::{Millis, StepSpec, TaskId};

/// Work that may be lost for one task, in thousandths of a core times milliseconds.
const MAX_LOSS: u64 = 6_000_000;
/// What starting again from a checkpoint costs, in milliseconds.
const RESTORE_MS: Millis = 600;
/// A graphics processor counts as this many thousandths of a core.
const GPU_AS_CPU: u64 = 8000;
/// A run that is nearly done is left alone.
const NEARLY_DONE_PERCENT: u64 = 80;

/// Runs to stop, all on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Victims {
    pub incarnation: String,
    pub tasks: Vec<TaskId>,
}

/// The runs of lower priority whose stop gives a task room at the least loss.
pub(crate) fn choose_victims(
    workers: &Workers,
    nominations: &Nominations,
    first: &TaskId,
    step: &StepSpec,
    priority: u32,
    now: Millis,
) -> Option<Victims> {
    let fits = |worker: &&Worker| {
        worker.is_schedulable(now)
            && !worker.health.is_on_probation()
            && worker.has_labels(&step.requirements)
            && step.resources.fits(&worker.entry.capacity)
            && nominations.allow(&worker.entry.incarnation, first)
    };
    let plans = workers
        .values()
        .filter(fits)
        .filter_map(|worker| plan_preemption(worker, step, priority, now));
    plans
        .min_by_key(|(loss, _)| *loss)
        .map(|(_, victims)| victims)
}

fn plan_preemption(
    worker: &Worker,
    step: &StepSpec,
    priority: u32,
    now: Millis,
) -> Option<(u64, Victims)> {
    let mut candidates: Vec<(u64, TaskId, &Run)> = worker
        .runs
        .iter()
        .filter(|(_, run)| is_preemptible(run, priority))
        .map(|(task, run)| (loss(run, now), *task, run))
        .collect();
    candidates.sort_by_key(|(loss, task, _)| (*loss, *task));
    let mut used = worker.used;
    let mut total = 0;
    let mut tasks = Vec::new();
    for (loss, task, run) in candidates {
        if step.resources.plus(&used).fits(&worker.entry.capacity) {
            break;
        }
        used = used.minus(&run.resources);
        total += loss;
        tasks.push(task);
    }
    let enough = step.resources.plus(&used).fits(&worker.entry.capacity) && !tasks.is_empty();
    (enough && total <= MAX_LOSS).then(|| {
        (
            total,
            Victims {
                incarnation: worker.entry.incarnation.clone(),
                tasks,
            },
        )
    })
}

fn is_preemptible(run: &Run, priority: u32) -> bool {
    run.priority > priority
        && run.is_wanted_and_started()
        && !run.gang
        && !run.long_running
        && run.progress.percent < NEARLY_DONE_PERCENT
}

/// What stopping a run loses.
fn loss(run: &Run, now: Millis) -> u64 {
    let passed = now.saturating_sub(run.started_at);
    let lost = if run.checkpoints {
        passed.min(RESTORE_MS)
    } else {
        passed
    };
    lost * (run.resources.cpu + GPU_AS_CPU * run.resources.gpu)
}
