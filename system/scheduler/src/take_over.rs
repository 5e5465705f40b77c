//! Reloads the full replicated state, when the role is taken over and after a view change.
use crate::{calls::Output, scheduler::Scheduler};
use magpiegap_jobs::State;
use magpiegap_protocol::{Command, JobId, Millis, RunId, TaskId};
use std::collections::{BTreeMap, HashSet};

impl Scheduler {
    /// Reloads the state after a change of the view or of the role's owner. Earlier proposals that are not in the state
    /// will never be committed.
    pub fn reload_state(&mut self, now: Millis, state: &State) {
        self.drop_outputs();
        self.snapshot_position = state.position;
        self.table.clear_pending();
        self.job_timers.clear();
        self.changed_jobs.clear();
        let is_own_job = |id: &JobId| {
            state
                .jobs
                .get(id)
                .is_some_and(|job| job.submission.service == self.service)
        };
        let mut recorded_runs: BTreeMap<&str, Vec<(TaskId, RunId)>> = BTreeMap::new();
        for (incarnation, record) in &state.workers {
            let runs = record
                .runs
                .iter()
                .filter(|(task, _)| is_own_job(&task.job))
                .map(|(task, run)| (*task, *run));
            recorded_runs.insert(incarnation, runs.collect());
        }
        self.drop_unrecorded_runs(&recorded_runs);
        for (incarnation, runs) in recorded_runs {
            for (task, run) in runs {
                self.adopt_run(incarnation, task, run, now, state);
            }
        }
        for (incarnation, worker) in &mut self.table.workers {
            let acknowledged = state
                .workers
                .get(incarnation)
                .map_or(0, |record| record.acknowledged_completion);
            worker.acknowledged_completion = acknowledged;
            worker.proposed_completion = acknowledged;
        }
        let ids: Vec<JobId> = state.jobs.keys().copied().collect();
        for id in ids {
            self.reconcile_job(id, now, state);
        }
        self.cancel_pending_tombstones(state);
        self.planner.request_round();
        self.table.lease_schedule.scan_at(now);
    }

    /// Proposes to cancel the tombstones that the coordinator which recorded them has not cancelled.
    fn cancel_pending_tombstones(&mut self, state: &State) {
        let pending = state.jobs.values().filter(|job| {
            let submission = &job.submission;
            submission.is_tombstone()
                && submission.service == self.service
                && !job.phase.is_terminal()
        });
        let cancellations = pending.map(|job| {
            let job = job.submission.job;
            Output::Propose(Command::CancelJob { job })
        });
        self.outputs.extend(cancellations);
    }

    /// Drops the outputs that were not polled, because they were based on the previous state.
    pub(crate) fn drop_outputs(&mut self) {
        for output in std::mem::take(&mut self.outputs) {
            if let Output::Call(call) = output {
                self.calls.remove(call.id);
            }
        }
    }

    fn drop_unrecorded_runs(&mut self, recorded_runs: &BTreeMap<&str, Vec<(TaskId, RunId)>>) {
        for (incarnation, worker) in &mut self.table.workers {
            let recorded: HashSet<&(TaskId, RunId)> = recorded_runs
                .get(incarnation.as_str())
                .into_iter()
                .flatten()
                .collect();
            let unrecorded: Vec<(TaskId, RunId)> = worker
                .runs
                .iter()
                .map(|(task, run)| (*task, run.id))
                .filter(|pair| !recorded.contains(pair))
                .collect();
            for (task, run) in unrecorded {
                worker.remove_run(&task, run);
            }
        }
    }
}
