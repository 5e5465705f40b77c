//! Checks of stops: the runs of cancelled jobs end, and a complete gang of an active job is not stopped.
use super::Oracle;
use crate::worker::{first_task_of_step, RunCompletion};
use magpiegap_protocol::{CompletionKind, JobId, JobSpec, StepSpec, TaskId};
use std::collections::BTreeMap;

/// Time within which all runs of a cancelled job end after the acknowledgement, in the absence of faults, in
/// milliseconds. The specification allows several seconds; the simulated network is fast.
const CANCELLED_RUNS_END_WITHIN_MS: u64 = 2000;

impl Oracle {
    /// Checks that the runs of cancelled jobs have ended. `fault_free_since` is when the effects of the last fault ended.
    pub(crate) fn check_cancelled_runs(&mut self, now: u64, fault_free_since: u64) {
        let mut remaining: BTreeMap<JobId, TaskId> = BTreeMap::new();
        for (task, runs) in &self.running {
            let Some(cancelled_at) = self.cancelled.get(&task.job) else {
                continue;
            };
            let deadline = (*cancelled_at).max(fault_free_since) + CANCELLED_RUNS_END_WITHIN_MS;
            if now > deadline && !runs.is_empty() {
                remaining.insert(task.job, *task);
            }
        }
        for (job, task) in remaining {
            if self.reported_cancelled.insert(job) {
                let description = format!("{task} is still running after its job was cancelled");
                self.report(now, description);
            }
        }
    }

    /// Checks a run that has ended, before it is removed from the runs in progress. Gangs are not preempted and
    /// simulated workers do not drain, so a member may be stopped only if another member is missing or the job has
    /// ended.
    pub(crate) fn check_stop(
        &mut self,
        at: u64,
        completion: &RunCompletion,
        spec: &JobSpec,
        max_attempts: u32,
    ) {
        let task = completion.task;
        let Some(step) = spec.steps.get(task.step as usize) else {
            return;
        };
        let is_stopped = completion.kind == CompletionKind::Stopped;
        if !step.gang || !is_stopped || !self.is_complete_gang(completion, step) {
            return;
        }
        let is_cancelled = self.cancel_requested.contains(&task.job);
        if !is_cancelled && !self.has_failed(task.job, max_attempts) {
            let description = format!("{task} was stopped although its gang was complete");
            self.report(at, description);
        }
    }

    /// Whether all members of the gang are running in the same run.
    fn is_complete_gang(&self, completion: &RunCompletion, step: &StepSpec) -> bool {
        let first = first_task_of_step(completion.task);
        (0..step.count).all(|index| {
            let runs = self.running.get(&TaskId { index, ..first });
            runs.is_some_and(|runs| runs.iter().any(|run| run.run == completion.run))
        })
    }

    /// Whether a task of the job has exhausted its attempts.
    fn has_failed(&self, job: JobId, max_attempts: u32) -> bool {
        self.failures
            .iter()
            .any(|(task, runs)| task.job == job && runs.len() >= max_attempts as usize)
    }
}
