//! Reconciles the queue, timers and runs of a job with the job's state in the log.
use crate::{calls::Output, scheduler::Scheduler};
use magpiegap_jobs::{Job, State, StepState};
use magpiegap_protocol::{Command, JobId, Millis, RunId, TaskId, WallMillis};
use std::collections::{BTreeSet, HashMap};

/// Extra time, in milliseconds, for which the status of a completed job is retained beyond the configured retention.
const STATUS_MARGIN_MS: u64 = 30_000;

impl Scheduler {
    /// Updates the queue, timers and runs of a job of this service after its state has changed.
    pub(crate) fn reconcile_job(&mut self, id: JobId, now: Millis, state: &State) {
        let Some(job) = state.jobs.get(&id) else {
            return;
        };
        if job.submission.service != self.service {
            return;
        }
        if job.phase.is_terminal() {
            self.planner.queue.remove(id);
            self.changed_jobs.remove(id);
            self.job_timers.complete(id, job.completed_ms);
        } else {
            self.job_timers.schedule(job);
            self.refresh_queue(id, now, state);
        }
        self.stop_unneeded_runs(job, now);
    }

    /// Queues the startable tasks of a job, except those with a proposed run.
    pub(crate) fn refresh_queue(&mut self, id: JobId, now: Millis, state: &State) {
        let Some(job) = state.jobs.get(&id) else {
            return;
        };
        let table = &self.table;
        let is_being_placed = |task: &TaskId| table.is_proposed(task);
        let examined = self
            .planner
            .queue
            .refresh(job, now, self.wall, is_being_placed);
        self.planner.examined_units += examined as u64;
        let queued = self.planner.queue.len_of(id);
        self.changed_jobs.record_refresh(id, queued, now);
        self.planner.request_round();
    }

    /// Requests the stop of runs that are no longer needed: runs of completed jobs, of tasks that are done, and of
    /// gangs that have lost a member.
    fn stop_unneeded_runs(&mut self, job: &Job, now: Millis) {
        for (occurrence, steps) in &job.occurrences {
            for (position, step) in steps.steps.iter().enumerate() {
                let first = TaskId {
                    job: job.submission.job,
                    occurrence: *occurrence,
                    step: position as u32,
                    index: 0,
                };
                self.stop_unneeded_runs_of_step(job, step, first, now);
            }
        }
    }

    fn stop_unneeded_runs_of_step(
        &mut self,
        job: &Job,
        step: &StepState,
        first: TaskId,
        now: Millis,
    ) {
        let spec = job.submission.spec.steps.get(first.step as usize);
        let is_gang = spec.is_some_and(|spec| spec.gang);
        let gang_runs = if is_gang {
            active_runs(step)
        } else {
            HashMap::new()
        };
        let has_all_members = |run: RunId| gang_runs.get(&run) == Some(&step.tasks.len());
        for (index, task) in step.tasks.iter().enumerate() {
            let id = TaskId {
                index: index as u32,
                ..first
            };
            for active in &task.active_runs {
                // Members of a gang that is done complete without being stopped.
                let is_broken = is_gang && !step.is_done() && !has_all_members(active.run);
                let is_superfluous = task.done && !is_gang;
                if job.phase.is_terminal() || is_broken || is_superfluous {
                    self.request_stop(&active.incarnation, id, active.run, now);
                }
            }
        }
    }

    /// Requests the stop of a run; the order is sent later.
    fn request_stop(&mut self, incarnation: &str, task: TaskId, run: RunId, now: Millis) {
        let Some(worker) = self.table.workers.get_mut(incarnation) else {
            return;
        };
        if let Some(known) = worker.run_mut(&task, run) {
            known.next_stop_at.get_or_insert(now);
            self.table.mark_order_due(incarnation);
        }
    }

    /// Proposes to open the due occurrences of repeated jobs.
    pub(crate) fn open_due_occurrences(&mut self, wall: WallMillis, state: &State) {
        for occurrence in self.job_timers.take_due(wall, state) {
            self.outputs.push(Output::Propose(Command::OpenOccurrence {
                job: occurrence.job,
                occurrence: occurrence.number,
            }));
        }
    }

    /// Proposes to remove completed jobs whose status retention has passed.
    pub(crate) fn remove_completed_jobs(&mut self, wall: WallMillis) {
        let before = wall.saturating_sub(self.settings.status_retention_ms + STATUS_MARGIN_MS);
        let jobs = self.job_timers.take_completed_before(before);
        if !jobs.is_empty() {
            self.outputs
                .push(Output::Propose(Command::RemoveJobs { jobs }));
        }
    }
}

/// Number of tasks with an active run, by run number.
fn active_runs(step: &StepState) -> HashMap<RunId, usize> {
    let mut counts = HashMap::new();
    for task in &step.tasks {
        let runs: BTreeSet<RunId> = task.active_runs.iter().map(|active| active.run).collect();
        for run in runs {
            *counts.entry(run).or_default() += 1;
        }
    }
    counts
}
