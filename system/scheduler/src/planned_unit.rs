//! Tasks and gangs on their way from the queue to a worker.
use crate::queue::Urgency;
use magpiegap_jobs::{Job, StartableUnit};
use magpiegap_protocol::{Millis, RunStart, StepSpec};

/// A task or gang in the queue at the start of a round.
pub(crate) struct QueuedUnit {
    pub urgency: Urgency,
    pub unit: StartableUnit,
    pub queued_at: Millis,
}

/// A task or gang to place.
#[derive(Clone, Copy)]
pub(crate) struct PlannedUnit<'a> {
    pub job: &'a Job,
    pub unit: &'a StartableUnit,
    pub step: &'a StepSpec,
    pub urgency: &'a Urgency,
    /// Time in the queue, in milliseconds.
    pub waited_ms: Millis,
}

impl PlannedUnit<'_> {
    /// The runs of the unit on its chosen workers.
    pub(crate) fn run_starts(&self, chosen: Vec<String>) -> Vec<RunStart> {
        let PlannedUnit {
            job, unit, step, ..
        } = *self;
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
}

/// The step of a unit.
pub(crate) fn step_of<'a>(job: &'a Job, unit: &StartableUnit) -> Option<&'a StepSpec> {
    job.submission.spec.steps.get(unit.first_task.step as usize)
}
