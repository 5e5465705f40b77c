//! Checks of each run start: the job was submitted, dependencies are met, the placement is allowed, and no other run of
//! the task is in progress.
use super::{Oracle, WorkerRun};
use crate::worker::{checkpoint_owner, first_task_of_step};
use magpiegap_protocol::{JobSpec, RunId, StepSpec, TaskId, WallMillis, WorkerEntry};

/// Time after the acknowledgement of a cancellation from which no task of the job is ordered to start, in milliseconds.
const CANCEL_WITHIN_MS: u64 = 3000;
/// Maximum time that a task may start before its scheduled time, in milliseconds: 250 ms, plus 5 s because the
/// specification allows more when clocks jump.
const MAX_EARLY_START_MS: u64 = 250 + 5000;

/// The start of a run on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Start<'a> {
    pub at: u64,
    /// The true time of day.
    pub wall: WallMillis,
    pub worker: &'a WorkerEntry,
    pub task: TaskId,
    pub run: RunId,
    pub checkpoint: &'a str,
    pub over_capacity: bool,
}

impl Oracle {
    /// Checks an order to start a task.
    pub(crate) fn start_ordered(&mut self, at: u64, task: TaskId) {
        let was_cancelled = self
            .cancelled
            .get(&task.job)
            .is_some_and(|since| at > since + CANCEL_WITHIN_MS);
        if was_cancelled {
            self.report(
                at,
                format!(
                    "{task} was ordered to start over {CANCEL_WITHIN_MS} ms after cancellation"
                ),
            );
        }
    }

    /// Checks and records the start of a run on a worker.
    pub(crate) fn run_started(&mut self, start: &Start<'_>, spec: &JobSpec, max_attempts: u32) {
        let task = start.task;
        let Some(step) = spec.steps.get(task.step as usize) else {
            return;
        };
        self.check_requested(start);
        // A long-running task is to be started again however its runs end.
        if !spec.long_running {
            self.check_attempts(start, step, max_attempts);
        }
        self.check_checkpoint(start, step);
        self.check_dependencies(start, spec, step);
        self.check_placement(start, step);
        if !step.allow_duplicate {
            self.check_single_run(start, spec, step);
        }
        let worker_run = WorkerRun {
            incarnation: start.worker.incarnation.clone(),
            run: start.run,
        };
        self.running.entry(task).or_default().insert(worker_run);
    }

    fn check_requested(&mut self, start: &Start<'_>) {
        let (at, task) = (start.at, start.task);
        if self.rejected.contains(&task.job) {
            self.report(at, format!("{task} was started, but its job was rejected"));
        }
        if !self.submitted.contains(&task.job) {
            self.report(
                at,
                format!("{task} was started, but no client submitted its job"),
            );
        }
    }

    fn check_attempts(&mut self, start: &Start<'_>, step: &StepSpec, max_attempts: u32) {
        let (at, task) = (start.at, start.task);
        let is_exhausted = self
            .failures
            .get(&checkpoint_owner(task, step))
            .is_some_and(|failures| failures.len() >= max_attempts as usize);
        if is_exhausted {
            self.report(
                at,
                format!("{task} was started after all {max_attempts} attempts had failed"),
            );
        }
    }

    fn check_checkpoint(&mut self, start: &Start<'_>, step: &StepSpec) {
        let (at, task, checkpoint) = (start.at, start.task, start.checkpoint);
        let owner = checkpoint_owner(task, step).to_string();
        let is_foreign = checkpoint
            .rsplit_once('@')
            .is_some_and(|(named, _)| named != owner);
        if is_foreign {
            self.report(
                at,
                format!("{task} was started with checkpoint {checkpoint} of another task"),
            );
        }
    }

    fn check_dependencies(&mut self, start: &Start<'_>, spec: &JobSpec, step: &StepSpec) {
        let (at, task) = (start.at, start.task);
        for &dependency in &step.depends_on {
            let Some(earlier) = spec.steps.get(dependency as usize) else {
                continue;
            };
            let tasks = (0..earlier.count).map(|index| TaskId {
                step: dependency,
                index,
                ..task
            });
            let mut owners = tasks.map(|earlier_task| checkpoint_owner(earlier_task, earlier));
            if let Some(unfinished) = owners.find(|owner| !self.done.contains_key(owner)) {
                self.report(
                    at,
                    format!("{task} was started before its dependency {unfinished} had succeeded"),
                );
            }
        }
        let is_early = spec
            .scheduled_ms(task.occurrence)
            .is_some_and(|scheduled| start.wall + MAX_EARLY_START_MS < scheduled);
        if is_early {
            self.report(at, format!("{task} was started before its scheduled time"));
        }
    }

    fn check_placement(&mut self, start: &Start<'_>, step: &StepSpec) {
        let (at, task, worker) = (start.at, start.task, start.worker);
        let incarnation = &worker.incarnation;
        if start.over_capacity {
            self.report(
                at,
                format!("{task} was started on {incarnation}, which lacks the capacity"),
            );
        }
        let missing_label = step
            .requirements
            .iter()
            .find(|label| !worker.labels.contains(label));
        if let Some(label) = missing_label {
            self.report(
                at,
                format!("{task} was started on {incarnation}, which lacks the label {label}"),
            );
        }
        let max_per_worker = step.anti_affinity as usize;
        if max_per_worker > 0 && self.running_of_step(task, incarnation) >= max_per_worker {
            self.report(
                at,
                format!("{task} exceeds its step's limit of {max_per_worker} on {incarnation}"),
            );
        }
    }

    /// Number of tasks of the same step that run on a worker.
    fn running_of_step(&self, task: TaskId, incarnation: &str) -> usize {
        let is_same_step = |other: &TaskId| first_task_of_step(*other) == first_task_of_step(task);
        self.running
            .iter()
            .filter(|(other, _)| is_same_step(other))
            .filter(|(_, runs)| runs.iter().any(|run| run.incarnation == incarnation))
            .count()
    }

    fn check_single_run(&mut self, start: &Start<'_>, spec: &JobSpec, step: &StepSpec) {
        let Start { at, task, run, .. } = *start;
        let incarnation = &start.worker.incarnation;
        let other = self.running.get(&task).and_then(|runs| runs.first());
        if let Some(other) = other {
            let description = format!(
                "{task} run {run} on {incarnation} is concurrent with run {} on {}",
                other.run, other.incarnation
            );
            self.report(at, description);
        }
        if spec.long_running {
            return;
        }
        let owner = checkpoint_owner(task, step);
        if self.acknowledged.contains(&owner) {
            self.report(
                at,
                format!("{task} was started after its completion had been acknowledged"),
            );
        }
        let completions = self.done.get(&owner).into_iter().flatten();
        self.restarted
            .extend(completions.map(|completion| (owner, completion.clone())));
    }
}
