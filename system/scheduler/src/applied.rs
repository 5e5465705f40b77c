//! Handles applied log entries: updates the runs, workers and jobs that the scheduler tracks.
use crate::{
    run::{Run, RunPhase},
    scheduler::Scheduler,
    worker::Worker,
};
use magpiegap_jobs::{Change, Job, State};
use magpiegap_protocol::{CompletionKind, JobId, LogPosition, Millis, RunId, RunStart, TaskId};
use std::collections::BTreeSet;

impl Scheduler {
    /// Handles an applied entry; `own_runs` are the runs in it that this scheduler proposed. Entries up to the position
    /// at which the state was last read in full are ignored.
    pub fn handle_applied(
        &mut self,
        now: Millis,
        entry: LogPosition,
        state: &State,
        changes: &[Change],
        own_runs: &[RunStart],
    ) {
        if entry.index <= self.snapshot_position.index {
            return;
        }
        // A job changes with each of its closed runs, which say by themselves whether its queue is affected.
        let mut jobs_of_closed_runs: BTreeSet<JobId> = BTreeSet::new();
        for change in changes {
            if let Change::RunClosed { task, .. } = change {
                jobs_of_closed_runs.insert(task.job);
            }
            match change {
                Change::JobChanged(id) if jobs_of_closed_runs.contains(id) => {}
                change => self.apply_change(change, now, state),
            }
        }
        for start in own_runs {
            self.release_refused_proposal(start);
            if !is_recorded(state, start) {
                self.changed_jobs.mark(start.task.job);
            }
        }
    }

    /// Marks a job for a refresh of its queue; one that has ended leaves the queue at once.
    fn mark_job_changed(&mut self, id: JobId, state: &State) {
        if state
            .jobs
            .get(&id)
            .is_some_and(|job| job.phase.is_terminal())
        {
            self.changed_jobs.remove(id);
        }
        self.changed_jobs.mark(id);
    }

    fn apply_change(&mut self, change: &Change, now: Millis, state: &State) {
        match change {
            Change::RunStarted(start) => self.handle_run_recorded(start, now, state),
            Change::RunClosed {
                task,
                run,
                incarnation,
                kind,
            } => {
                if !is_routine_completion(state, task, *kind) {
                    self.mark_job_changed(task.job, state);
                }
                self.handle_run_closed(*task, *run, incarnation, *kind, now);
            }
            Change::JobChanged(id) => self.mark_job_changed(*id, state),
            Change::JobRemoved(id) => {
                self.planner.remove_job(*id);
                self.changed_jobs.remove(*id);
                self.job_timers.remove(*id);
            }
            Change::CompletionsRecorded {
                incarnation,
                acknowledged_completion,
            } => self.handle_completions_recorded(incarnation, *acknowledged_completion, now),
            Change::ConfigurationReplaced | Change::RoleClaimed(_) => {}
        }
    }

    fn handle_completions_recorded(&mut self, incarnation: &str, sequence: u64, now: Millis) {
        if let Some(worker) = self.table.workers.get_mut(incarnation) {
            worker.acknowledged_completion = sequence;
            worker.proposed_completion = worker.proposed_completion.max(sequence);
            worker.lease.renew_at = now;
            self.table.lease_schedule.mark_updated(incarnation);
        }
    }

    fn handle_run_recorded(&mut self, start: &RunStart, now: Millis, state: &State) {
        self.table.resolve_proposal(&start.task);
        self.planner.queue.remove_started(&start.task);
        if let Some(worker) = self.table.workers.get_mut(&start.incarnation) {
            if let Some(run) = worker.run_mut(&start.task, start.run) {
                // In any other phase this or an earlier scheduler may already have sent the start.
                if run.phase == RunPhase::Proposed {
                    run.phase = RunPhase::Recorded { not_before: now };
                    run.last_reply_at = now;
                    worker.lease.renew_at = worker.lease.renew_at.min(now);
                    self.table.mark_order_due(&start.incarnation);
                    self.table.lease_schedule.mark_updated(&start.incarnation);
                }
                return;
            }
        }
        self.adopt_run(&start.incarnation, start.task, start.run, now, state);
    }

    /// Tracks a run from the log that this scheduler has not proposed since it took over its role.
    pub(crate) fn adopt_run(
        &mut self,
        incarnation: &str,
        task: TaskId,
        run: RunId,
        now: Millis,
        state: &State,
    ) {
        let Some(job) = state.jobs.get(&task.job) else {
            return;
        };
        if job.submission.service != self.service {
            return;
        }
        let Some(step) = job.submission.spec.steps.get(task.step as usize) else {
            return;
        };
        let leases_expire_at = self.previous_leases_expire_at();
        self.table.lease_schedule.mark_updated(incarnation);
        let worker = self
            .table
            .workers
            .entry(incarnation.to_owned())
            .or_insert_with(|| Worker::unlisted(incarnation, now, leases_expire_at));
        if let Some(known) = worker.run_mut(&task, run) {
            match known.phase {
                // Proposed before the view change and now in the log; its start was never sent.
                RunPhase::Proposed => {
                    known.phase = RunPhase::Recorded { not_before: now };
                    self.table.mark_order_due(incarnation);
                }
                // Its loss was proposed but is not in the log; the next listing shows whether it is running.
                RunPhase::LossProposed => {
                    known.phase = RunPhase::Started;
                    known.last_reply_at = now;
                }
                RunPhase::Recorded { .. } | RunPhase::Starting | RunPhase::Started => {}
            }
            return;
        }
        let start = RunStart {
            task,
            run,
            incarnation: incarnation.to_owned(),
            checkpoint: recorded_checkpoint(job, &task, run),
        };
        worker.add_run(task, Run::new(job, step, &start, RunPhase::Started, now));
    }

    fn handle_run_closed(
        &mut self,
        task: TaskId,
        run: RunId,
        incarnation: &str,
        kind: Option<CompletionKind>,
        now: Millis,
    ) {
        self.planner.request_round();
        let worker = self.table.workers.get_mut(incarnation);
        let removed = worker.and_then(|worker| worker.remove_run(&task, run));
        let Some(completed @ (CompletionKind::Done | CompletionKind::Failed)) = kind else {
            return;
        };
        let has_failed = completed == CompletionKind::Failed;
        // A failure of a long-running run that was at work says nothing about its worker.
        if has_failed && removed.as_ref().is_some_and(Run::is_established) {
            return;
        }
        self.failure_rate.record(has_failed);
        if has_failed {
            self.handle_failed_run(task, incarnation, removed.is_some(), now);
        } else {
            self.record_worker_success(incarnation);
        }
    }

    fn record_worker_success(&mut self, incarnation: &str) {
        if let Some(worker) = self.table.workers.get_mut(incarnation) {
            worker.health.record_success();
        }
    }

    /// Ends what is held against a worker that has recovered without a run that completed.
    pub(crate) fn record_recovery(&mut self, incarnation: &str) {
        self.record_worker_success(incarnation);
        self.planner.request_round();
    }

    fn handle_failed_run(&mut self, task: TaskId, incarnation: &str, was_known: bool, now: Millis) {
        // The task itself may be at fault if it has failed on other workers too.
        let failed_elsewhere = self.planner.record_failure(task, incarnation);
        if was_known && !failed_elsewhere {
            self.record_worker_failure(task.job, incarnation, now);
        }
    }

    /// Counts a failure of a job against a worker, which ejects it if there are enough of them and not too many workers
    /// are ejected.
    pub(crate) fn record_worker_failure(&mut self, job: JobId, incarnation: &str, now: Millis) {
        let failures_to_eject = self.failure_rate.failures_to_eject();
        let Some(worker) = self.table.workers.get_mut(incarnation) else {
            return;
        };
        let is_enough = worker.health.record_failure(job, failures_to_eject, now);
        if is_enough && self.table.allows_ejection(incarnation, now) {
            self.eject(incarnation, now);
        }
    }

    fn eject(&mut self, incarnation: &str, now: Millis) {
        if let Some(worker) = self.table.workers.get_mut(incarnation) {
            worker.health.eject(now);
            self.ejection_report.add(incarnation);
        }
    }

    /// Releases the capacity of a proposed run that was refused when its entry was applied.
    fn release_refused_proposal(&mut self, start: &RunStart) {
        self.table.resolve_proposal(&start.task);
        let Some(worker) = self.table.workers.get_mut(&start.incarnation) else {
            return;
        };
        let is_refused = worker
            .run_mut(&start.task, start.run)
            .is_some_and(|run| run.phase == RunPhase::Proposed);
        if is_refused {
            worker.remove_run(&start.task, start.run);
            self.planner.request_round();
        }
    }
}

/// Whether a proposed run is on record as active.
fn is_recorded(state: &State, start: &RunStart) -> bool {
    let task = state
        .jobs
        .get(&start.task.job)
        .and_then(|job| job.task(&start.task));
    task.is_some_and(|task| {
        task.active_runs
            .iter()
            .any(|active| active.run == start.run && active.incarnation == start.incarnation)
    })
}

/// Whether the success of a run makes no task startable and no other run superfluous: its step has further tasks to do.
fn is_routine_completion(state: &State, task: &TaskId, kind: Option<CompletionKind>) -> bool {
    let Some(job) = state.jobs.get(&task.job) else {
        return false;
    };
    let spec = job.submission.spec.steps.get(task.step as usize);
    let occurrence = job.occurrences.get(&task.occurrence);
    let step = occurrence.and_then(|occurrence| occurrence.steps.get(task.step as usize));
    kind == Some(CompletionKind::Done)
        && !job.phase.is_terminal()
        && spec.is_some_and(|spec| !spec.gang && !spec.allow_duplicate)
        && step.is_some_and(|step| !step.is_done())
        && job.task(task).is_some_and(|task| task.done)
}

/// The checkpoint recorded for an active run; empty if there is none.
fn recorded_checkpoint(job: &Job, task: &TaskId, run: RunId) -> String {
    let Some(state) = job.task(task) else {
        return String::new();
    };
    let active = state.active_runs.iter().find(|active| active.run == run);
    active
        .map(|active| active.checkpoint.clone())
        .unwrap_or_default()
}
