//! Checks of stops: the runs of cancelled jobs end, and nobody stops a gang that is complete and wanted.
use super::Oracle;
use crate::worker::{first_of_step, RunCompletion};
use magpiegap_protocol::{CompletionKind, JobId, JobSpec, StepSpec, TaskId};
use std::collections::BTreeMap;

/// A cancelled job has no runs any more this long after its cancelling was acknowledged, while there is no fault. The
/// pages allow several seconds; this network is fast.
const CANCELLED_RUNS_END_WITHIN_MS: u64 = 2000;

impl Oracle {
    /// Checks that the runs of cancelled jobs have ended. `calm_since` is when the effects of the last fault were over.
    pub(crate) fn check_cancelled_runs(&mut self, now: u64, calm_since: u64) {
        let mut left: BTreeMap<JobId, TaskId> = BTreeMap::new();
        for (task, runs) in &self.running {
            let Some(cancelled_at) = self.cancelled.get(&task.job) else {
                continue;
            };
            let deadline = (*cancelled_at).max(calm_since) + CANCELLED_RUNS_END_WITHIN_MS;
            if now > deadline && !runs.is_empty() {
                left.insert(task.job, *task);
            }
        }
        for (job, task) in left {
            if self.reported_cancelled.insert(job) {
                let what = format!("{task} still runs, and its job was cancelled");
                self.report(now, what);
            }
        }
    }

    /// Checks a run that has ended, before it is taken off the runs in progress. Gangs are not preempted, and workers of
    /// a fleet do not drain: a member is stopped only where another one is missing or the job has ended.
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
            let what = format!("{task} was stopped, and its gang was complete");
            self.report(at, what);
        }
    }

    /// Whether all members of the gang are in progress in the same run.
    fn is_complete_gang(&self, completion: &RunCompletion, step: &StepSpec) -> bool {
        let first = first_of_step(completion.task);
        (0..step.count).all(|index| {
            let runs = self.running.get(&TaskId { index, ..first });
            runs.is_some_and(|runs| runs.iter().any(|run| run.run == completion.run))
        })
    }

    /// Whether some task of the job has failed as often as it may.
    fn has_failed(&self, job: JobId, max_attempts: u32) -> bool {
        self.failures
            .iter()
            .any(|(task, runs)| task.job == job && runs.len() >= max_attempts as usize)
    }
}
