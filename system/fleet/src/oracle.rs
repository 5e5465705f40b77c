//! Invariants that hold whatever the faults: what workers run and what clients are shown is checked against them.
//! The oracle decides nothing in a fleet; it only reports violations.
mod history;
mod response_checks;
mod start_checks;
mod stop_checks;

pub(crate) use response_checks::{Observation, Operators};
pub(crate) use start_checks::Start;

use crate::worker::RunCompletion;
use history::ResponseHistory;
use magpiegap_protocol::{CompletionKind, JobId, RunId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// Something that must never happen, and did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When, in milliseconds.
    pub at: u64,
    /// What.
    pub what: String,
}

/// A run on one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WorkerRun {
    incarnation: String,
    run: RunId,
}

/// Watches what workers run and what clients are shown. Where tasks stand for the completions of a gang, it is the
/// gang's first one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Oracle {
    /// The runs in progress.
    running: BTreeMap<TaskId, BTreeSet<WorkerRun>>,
    /// Tasks that have ended `done`, and in which runs.
    done: BTreeMap<TaskId, BTreeSet<WorkerRun>>,
    /// Those of which a scheduler has acknowledged the completion.
    acknowledged: BTreeSet<TaskId>,
    /// Completions after which the task was started again before they were acknowledged.
    restarted: BTreeSet<(TaskId, WorkerRun)>,
    /// Failed runs.
    failures: BTreeMap<TaskId, BTreeSet<RunId>>,
    /// When the cancelling of jobs was acknowledged.
    cancelled: BTreeMap<JobId, u64>,
    /// When jobs were acknowledged as accepted.
    accepted: BTreeMap<JobId, u64>,
    /// Jobs that a client has submitted at least once, accepted or not.
    submitted: BTreeSet<JobId>,
    /// Jobs whose only attempt to be submitted was rejected.
    rejected: BTreeSet<JobId>,
    /// Jobs that a client has requested to cancel at least once.
    cancel_requested: BTreeSet<JobId>,
    /// Cancelled jobs whose runs were reported as going on.
    reported_cancelled: BTreeSet<JobId>,
    /// How many members of gangs have timed out while they waited for the others.
    gang_timeouts: u64,
    history: ResponseHistory,
    violations: Vec<Violation>,
}

impl Oracle {
    /// All violations so far.
    pub(crate) fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// How many members of gangs have timed out while they waited for the others.
    pub(crate) fn gang_timeouts(&self) -> u64 {
        self.gang_timeouts
    }

    /// The newest configuration version that was acknowledged to an operator.
    pub(crate) fn acknowledged_configuration(&self) -> u64 {
        self.history.newest_version()
    }

    pub(crate) fn report(&mut self, at: u64, what: String) {
        self.violations.push(Violation { at, what });
    }

    /// A client submits a job, or asks for its state.
    pub(crate) fn job_requested(&mut self, job: JobId) {
        self.submitted.insert(job);
    }

    /// A client requests to cancel a job.
    pub(crate) fn job_cancel_requested(&mut self, job: JobId) {
        self.cancel_requested.insert(job);
    }

    /// A job was acknowledged as accepted; the first time counts.
    pub(crate) fn job_accepted(&mut self, at: u64, job: JobId) {
        self.accepted.entry(job).or_insert(at);
    }

    /// A job's cancelling was acknowledged; the first time counts.
    pub(crate) fn job_cancelled(&mut self, at: u64, job: JobId) {
        self.cancelled.entry(job).or_insert(at);
    }

    /// A job's only attempt to be submitted was rejected.
    pub(crate) fn job_rejected(&mut self, job: JobId) {
        self.rejected.insert(job);
    }

    /// A run has ended on a worker; `owner` is the task under whose name its completion goes.
    pub(crate) fn run_completed(
        &mut self,
        incarnation: &str,
        completion: &RunCompletion,
        owner: TaskId,
    ) {
        let worker_run = WorkerRun {
            incarnation: incarnation.to_owned(),
            run: completion.run,
        };
        if let Some(runs) = self.running.get_mut(&completion.task) {
            runs.remove(&worker_run);
        }
        match completion.kind {
            CompletionKind::Done => {
                self.done.entry(owner).or_default().insert(worker_run);
            }
            CompletionKind::Failed => {
                self.failures
                    .entry(owner)
                    .or_default()
                    .insert(completion.run);
            }
            CompletionKind::GangTimedOut => self.gang_timeouts += 1,
            _ => {}
        }
    }

    /// A scheduler has acknowledged completions.
    pub(crate) fn completions_acknowledged(
        &mut self,
        at: u64,
        incarnation: &str,
        completions: &[RunCompletion],
        owner_of: impl Fn(TaskId) -> TaskId,
    ) {
        let done = completions
            .iter()
            .filter(|completion| completion.kind == CompletionKind::Done);
        for completion in done {
            let task = owner_of(completion.task);
            self.acknowledged.insert(task);
            let worker_run = WorkerRun {
                incarnation: incarnation.to_owned(),
                run: completion.run,
            };
            if self.restarted.contains(&(task, worker_run)) {
                self.report(
                    at,
                    format!("{task} was started once more after an end that is taken note of now"),
                );
            }
        }
    }

    /// An incarnation of a worker has ended, and all that it ran.
    pub(crate) fn incarnation_ended(&mut self, incarnation: &str) {
        for runs in self.running.values_mut() {
            runs.retain(|other| other.incarnation != incarnation);
        }
    }
}
