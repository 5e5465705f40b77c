//! What must never happen, whatever the faults.
use crate::{
    told::Told,
    worker::{checkpoint_owner, NotedEnd},
};
use magpiegap_protocol::{
    CompletionKind, JobId, JobPhase, JobSpec, RunId, StepSpec, TaskId, WallMillis, WorkerEntry,
};
use std::collections::{BTreeMap, BTreeSet};

/// Something that must never happen, and did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When, in milliseconds.
    pub at: u64,
    /// What.
    pub what: String,
}

/// An accepted job must be known everywhere after this time.
const VISIBLE_MS: u64 = 3000;
/// No task of a job is started later than this after the job's cancelling was acknowledged.
const CANCEL_MS: u64 = 3000;
/// A task may be started this much ahead of its time; clocks jump, and the pages allow more then.
const EARLY_MS: u64 = 250 + 5000;

/// A start on a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Start<'a> {
    pub at: u64,
    /// True time of day.
    pub wall: WallMillis,
    pub worker: &'a WorkerEntry,
    pub task: TaskId,
    pub run: RunId,
    pub checkpoint: &'a str,
    pub over_capacity: bool,
}

/// Watches what workers and clients see.
#[derive(Clone, Debug, Default)]
pub(crate) struct Oracle {
    /// What goes on where.
    running: BTreeMap<TaskId, BTreeSet<(String, RunId)>>,
    /// Tasks that have ended `done`, and in which runs on which workers; of a gang under the name of the first one.
    done: BTreeMap<TaskId, BTreeSet<(String, RunId)>>,
    /// Those of which the end was taken note of.
    noted: BTreeSet<TaskId>,
    /// Such ends that were followed by another start before they were taken note of.
    followed: BTreeSet<(TaskId, String, RunId)>,
    /// Failed runs, of members of a gang under the name of the first one.
    failures: BTreeMap<TaskId, BTreeSet<RunId>>,
    /// When the cancelling of jobs was acknowledged.
    pub cancelled: BTreeMap<JobId, u64>,
    /// Jobs that a client was told to be kept.
    pub accepted: BTreeMap<JobId, u64>,
    /// Jobs that a client has asked for at least once, kept or not.
    pub asked: BTreeSet<JobId>,
    /// Jobs whose only try to be handed in was turned away.
    pub rejected: BTreeSet<JobId>,
    /// Jobs that a client has asked to cancel at least once.
    pub asked_to_cancel: BTreeSet<JobId>,
    /// How many members of gangs have waited for the others in vain.
    pub waited_alone: u64,
    pub told: Told,
    pub violations: Vec<Violation>,
}

impl Oracle {
    pub(crate) fn report(&mut self, at: u64, what: String) {
        self.violations.push(Violation { at, what });
    }

    /// A run has ended on a worker.
    pub(crate) fn ended(
        &mut self,
        incarnation: &str,
        task: TaskId,
        run: RunId,
        how: CompletionKind,
        gang: bool,
    ) {
        if let Some(places) = self.running.get_mut(&task) {
            places.remove(&(incarnation.to_owned(), run));
        }
        match how {
            CompletionKind::Done => {
                let ends = self.done.entry(checkpoint_owner(task, gang)).or_default();
                ends.insert((incarnation.to_owned(), run));
            }
            CompletionKind::Failed => {
                self.failures
                    .entry(checkpoint_owner(task, gang))
                    .or_default()
                    .insert(run);
            }
            CompletionKind::GangTimedOut => self.waited_alone += 1,
            _ => {}
        }
    }

    /// Ends were taken note of.
    pub(crate) fn noted(
        &mut self,
        at: u64,
        incarnation: &str,
        ends: &[NotedEnd],
        gang: impl Fn(TaskId) -> bool,
    ) {
        for end in ends.iter().filter(|end| end.how == CompletionKind::Done) {
            let task = checkpoint_owner(end.task, gang(end.task));
            self.noted.insert(task);
            if self
                .followed
                .contains(&(task, incarnation.to_owned(), end.run))
            {
                self.report(
                    at,
                    format!("{task} was started once more after an end that is taken note of now"),
                );
            }
        }
    }

    /// A run begins on a worker.
    pub(crate) fn started(&mut self, start: &Start<'_>, spec: &JobSpec, max_attempts: u32) {
        let task = start.task;
        let Some(step) = spec.steps.get(task.step as usize) else {
            return;
        };
        self.check_wanted(start, step, max_attempts);
        self.check_order(start, spec, step);
        self.check_place(start, step);
        if !step.allow_duplicate {
            self.check_once(start, spec, step);
        }
        self.running
            .entry(task)
            .or_default()
            .insert((start.worker.incarnation.clone(), start.run));
    }

    fn check_wanted(&mut self, start: &Start<'_>, step: &StepSpec, max_attempts: u32) {
        let (at, task) = (start.at, start.task);
        let owner = checkpoint_owner(task, step.gang);
        if self.rejected.contains(&task.job) {
            self.report(
                at,
                format!("{task} was started, and its job had been turned away"),
            );
        }
        if !self.asked.contains(&task.job) {
            self.report(
                at,
                format!("{task} was started, and no client asked for it"),
            );
        }
        if self
            .failures
            .get(&owner)
            .is_some_and(|failures| failures.len() >= max_attempts as usize)
        {
            self.report(
                at,
                format!("{task} was started after its last attempt had failed"),
            );
        }
        let foreign = start
            .checkpoint
            .rsplit_once('@')
            .is_some_and(|(whose, _)| whose != owner.to_string());
        if foreign {
            self.report(
                at,
                format!(
                    "{task} was started with the checkpoint {}",
                    start.checkpoint
                ),
            );
        }
    }

    fn check_order(&mut self, start: &Start<'_>, spec: &JobSpec, step: &StepSpec) {
        let (at, task) = (start.at, start.task);
        for &before in &step.depends_on {
            let Some(earlier) = spec.steps.get(before as usize) else {
                continue;
            };
            let tasks = (0..earlier.count).map(|index| TaskId {
                step: before,
                index,
                ..task
            });
            let mut owners = tasks.map(|earlier_task| checkpoint_owner(earlier_task, earlier.gang));
            if let Some(open) = owners.find(|owner| !self.done.contains_key(owner)) {
                self.report(at, format!("{task} was started before {open} was done"));
            }
        }
        if spec
            .scheduled_ms(task.occurrence)
            .is_some_and(|due| start.wall + EARLY_MS < due)
        {
            self.report(at, format!("{task} was started before its time"));
        }
    }

    fn check_place(&mut self, start: &Start<'_>, step: &StepSpec) {
        let (at, task, worker) = (start.at, start.task, start.worker);
        let incarnation = &worker.incarnation;
        if start.over_capacity {
            self.report(
                at,
                format!("{incarnation} has no room for {task}, which was started there"),
            );
        }
        if let Some(label) = step
            .requirements
            .iter()
            .find(|label| !worker.labels.contains(label))
        {
            self.report(
                at,
                format!("{task} was started on {incarnation}, which lacks {label}"),
            );
        }
        let of_step = |other: &TaskId| TaskId { index: 0, ..*other } == TaskId { index: 0, ..task };
        let beside = self
            .running
            .iter()
            .filter(|(other, _)| of_step(other))
            .filter(|(_, places)| places.iter().any(|(place, _)| place == incarnation));
        if step.anti_affinity > 0 && beside.count() >= step.anti_affinity as usize {
            self.report(
                at,
                format!("{task} is one too many of its step on {incarnation}"),
            );
        }
    }

    fn check_once(&mut self, start: &Start<'_>, spec: &JobSpec, step: &StepSpec) {
        let Start { at, task, run, .. } = *start;
        let incarnation = &start.worker.incarnation;
        if let Some((other, other_run)) = self
            .running
            .get(&task)
            .and_then(|places| places.iter().next())
        {
            let what =
                format!("{task} run {run} on {incarnation} beside run {other_run} on {other}");
            self.violations.push(Violation { at, what });
        }
        let owner = checkpoint_owner(task, step.gang);
        if spec.long_running {
            return;
        }
        if self.noted.contains(&owner) {
            self.report(
                at,
                format!("{task} was started after an end had been taken note of"),
            );
        }
        let ends = self.done.get(&owner).into_iter().flatten();
        self.followed
            .extend(ends.map(|(place, ended)| (owner, place.clone(), *ended)));
    }

    /// A scheduler gives the order to start a task.
    pub(crate) fn ordered(&mut self, at: u64, task: TaskId) {
        if self
            .cancelled
            .get(&task.job)
            .is_some_and(|since| at > since + CANCEL_MS)
        {
            self.report(
                at,
                format!("{task} was ordered to start long after its job was cancelled"),
            );
        }
    }

    /// A worker's life is over, and all that it ran.
    pub(crate) fn life_over(&mut self, incarnation: &str) {
        for places in self.running.values_mut() {
            places.retain(|(other, _)| other != incarnation);
        }
    }

    /// A client was shown a job's state.
    pub(crate) fn shown(
        &mut self,
        at: u64,
        job: JobId,
        phase: Option<JobPhase>,
        tasks: &[TaskId],
        spec: &JobSpec,
    ) {
        let gang = |task: &TaskId| {
            spec.steps
                .get(task.step as usize)
                .is_some_and(|step| step.gang)
        };
        let open = |task: &&TaskId| {
            !self
                .done
                .contains_key(&checkpoint_owner(**task, gang(task)))
        };
        match phase {
            // A coordinator that was replaced a moment ago may not know it yet.
            None if self
                .accepted
                .get(&job)
                .is_some_and(|since| at > since + VISIBLE_MS) =>
            {
                self.report(at, format!("job {job} was accepted and isn't known"));
            }
            Some(JobPhase::Succeeded) => {
                if let Some(task) = tasks.iter().find(open) {
                    self.report(
                        at,
                        format!("job {job} is shown as succeeded, and {task} has not ended so"),
                    );
                }
            }
            Some(JobPhase::Cancelled) if !self.asked_to_cancel.contains(&job) => {
                self.report(
                    at,
                    format!("job {job} is shown as cancelled, and nobody asked for it"),
                );
            }
            Some(JobPhase::Failed) if !self.failures.keys().any(|task| task.job == job) => {
                self.report(
                    at,
                    format!("job {job} is shown as failed, and none of its runs has failed"),
                );
            }
            _ => {}
        }
    }
}
