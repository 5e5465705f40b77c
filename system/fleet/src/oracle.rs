//! The test oracle: checks the runs on workers and the responses to clients against invariants that hold under all
//! faults. It does not influence the simulation; it only records violations.
mod history;
mod idle_checks;
mod response_checks;
mod start_checks;
mod stop_checks;

pub(crate) use idle_checks::IdleTask;
pub(crate) use response_checks::{Observation, OperatorCount};
pub(crate) use start_checks::Start;

use crate::worker::RunCompletion;
use history::ResponseHistory;
use magpiegap_protocol::{CompletionKind, JobId, RunId, TaskId};
use std::collections::{BTreeMap, BTreeSet};

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Simulated time at which it was detected, in milliseconds.
    pub at: u64,
    /// Description of the violation.
    pub description: String,
}

/// A run on a specific incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct WorkerRun {
    incarnation: String,
    run: RunId,
}

/// Tracks the runs on workers and the responses to clients. The completions of a gang are recorded under the gang's
/// first task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Oracle {
    /// The runs in progress.
    running: BTreeMap<TaskId, BTreeSet<WorkerRun>>,
    /// Runs that completed successfully, by task.
    done: BTreeMap<TaskId, BTreeSet<WorkerRun>>,
    /// Tasks whose successful completion a scheduler has acknowledged.
    acknowledged: BTreeSet<TaskId>,
    /// Successful runs that were followed by another start of the task before they were acknowledged.
    restarted: BTreeSet<(TaskId, WorkerRun)>,
    /// Failed runs, by task.
    failures: BTreeMap<TaskId, BTreeSet<RunId>>,
    /// When the cancellation of each job was acknowledged.
    cancelled: BTreeMap<JobId, u64>,
    /// When the acceptance of each job was acknowledged.
    accepted: BTreeMap<JobId, u64>,
    /// Jobs that a client has submitted at least once, whether accepted or not.
    submitted: BTreeSet<JobId>,
    /// Jobs whose only submission was rejected.
    rejected: BTreeSet<JobId>,
    /// Jobs that a client has requested to cancel at least once.
    cancel_requested: BTreeSet<JobId>,
    /// Cancelled jobs for which a remaining run has already been reported.
    reported_cancelled: BTreeSet<JobId>,
    /// Since when tasks that could run have been idle.
    idle_since: BTreeMap<TaskId, u64>,
    /// Jobs with a task for which idleness has already been reported.
    reported_idle: BTreeSet<JobId>,
    /// Number of gang members that timed out while waiting for the other members.
    gang_timeouts: u64,
    history: ResponseHistory,
    violations: Vec<Violation>,
}

impl Oracle {
    /// All violations so far.
    pub(crate) fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Number of gang members that timed out while waiting for the other members.
    pub(crate) fn gang_timeouts(&self) -> u64 {
        self.gang_timeouts
    }

    /// The newest configuration version that was acknowledged to an operator.
    pub(crate) fn acknowledged_configuration(&self) -> u64 {
        self.history.newest_version()
    }

    pub(crate) fn report(&mut self, at: u64, description: String) {
        self.violations.push(Violation { at, description });
    }

    /// Records that a client has sent a request for a job.
    pub(crate) fn job_requested(&mut self, job: JobId) {
        self.submitted.insert(job);
    }

    /// Records that a client has requested cancellation of a job.
    pub(crate) fn job_cancel_requested(&mut self, job: JobId) {
        self.cancel_requested.insert(job);
    }

    /// Records the first time that the acceptance of a job was acknowledged.
    pub(crate) fn job_accepted(&mut self, at: u64, job: JobId) {
        self.accepted.entry(job).or_insert(at);
    }

    /// Records the first time that the cancellation of a job was acknowledged.
    pub(crate) fn job_cancelled(&mut self, at: u64, job: JobId) {
        self.cancelled.entry(job).or_insert(at);
    }

    /// Records that the only submission of a job was rejected.
    pub(crate) fn job_rejected(&mut self, job: JobId) {
        self.rejected.insert(job);
    }

    /// Records the end of a run on a worker; `owner` is the task that the completion is recorded under.
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

    /// Records that a scheduler has acknowledged completions, and checks that no task was restarted after one of them.
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
                    format!(
                        "{task} was restarted after a completion that is only now acknowledged"
                    ),
                );
            }
        }
    }

    /// Records that a worker incarnation has ended, and with it all of its runs.
    pub(crate) fn incarnation_ended(&mut self, incarnation: &str) {
        for runs in self.running.values_mut() {
            runs.retain(|other| other.incarnation != incarnation);
        }
    }
}
