//! Commands that record runs as started, completed or lost.
use crate::{
    change::{Change, Outcome},
    job::StepKind,
    transition::Transition,
    ActiveRun, Job,
};
use magpiegap_protocol::{CompletionKind, JobId, JobPhase, RunCompletion, RunId, RunStart, TaskId};

impl Transition<'_> {
    pub(crate) fn start_runs(&mut self, runs: &[RunStart]) -> Outcome {
        let mut outcome = Outcome::NotApplicable;
        for start in runs {
            if self.start_run(start).is_some() {
                self.changes.push(Change::RunStarted(start.clone()));
                outcome = Outcome::Done;
            }
        }
        outcome
    }

    /// Records the start of a run. Returns `None` if the task, job or worker does not permit it.
    fn start_run(&mut self, start: &RunStart) -> Option<()> {
        let id = start.task;
        let worker = self.state.workers.get(&start.incarnation);
        if worker.is_some_and(|worker| worker.ended || worker.runs.contains_key(&id)) {
            return None;
        }
        let job = self.state.job_mut(&id.job)?;
        if job.phase.is_terminal() {
            return None;
        }
        let allows_duplicate = job.step_spec(&id)?.allow_duplicate;
        let task = job.task_mut(&id)?;
        let has_conflicting_run = !allows_duplicate && !task.active_runs.is_empty();
        if task.done || start.run <= task.last_run || has_conflicting_run {
            return None;
        }
        task.last_run = start.run;
        task.active_runs.push(ActiveRun {
            run: start.run,
            incarnation: start.incarnation.clone(),
            checkpoint: start.checkpoint.clone(),
        });
        if job.phase == JobPhase::Pending {
            job.phase = JobPhase::Running;
        }
        let worker = self.state.workers.entry(start.incarnation.clone());
        worker.or_default().runs.insert(id, start.run);
        Some(())
    }

    pub(crate) fn record_completions(
        &mut self,
        incarnation: &str,
        acknowledged_completion: u64,
        completions: &[RunCompletion],
    ) -> Outcome {
        let worker = self.state.workers.entry(incarnation.to_owned());
        let worker = worker.or_default();
        if acknowledged_completion <= worker.acknowledged_completion {
            return Outcome::Repeated;
        }
        worker.acknowledged_completion = acknowledged_completion;
        for completion in completions {
            let kind = Some(completion.kind);
            if self.close_run(incarnation, completion.task, completion.run, kind) {
                self.record_completion(completion);
                self.advance_job(completion.task.job);
            }
        }
        self.changes.push(Change::CompletionsRecorded {
            incarnation: incarnation.to_owned(),
            acknowledged_completion,
        });
        Outcome::Done
    }

    /// Removes a run from its worker and its task. Returns `false` if the worker's record does not contain it.
    fn close_run(
        &mut self,
        incarnation: &str,
        task: TaskId,
        run: RunId,
        kind: Option<CompletionKind>,
    ) -> bool {
        let Some(worker) = self.state.workers.get_mut(incarnation) else {
            return false;
        };
        if worker.runs.get(&task) != Some(&run) {
            return false;
        }
        worker.runs.remove(&task);
        let job = self.state.job_mut(&task.job);
        if let Some(state) = job.and_then(|job| job.task_mut(&task)) {
            state
                .active_runs
                .retain(|active| active.run != run || active.incarnation != incarnation);
        }
        self.changes.push(Change::RunClosed {
            task,
            run,
            incarnation: incarnation.to_owned(),
            kind,
        });
        true
    }

    /// Records a completion for its task or gang. The job fails when the last permitted attempt has failed.
    fn record_completion(&mut self, completion: &RunCompletion) {
        let task = &completion.task;
        let Some(job) = self.state.job_mut(&task.job) else {
            return;
        };
        if job.phase.is_terminal() {
            return;
        }
        let Some(spec) = job.step_spec(task) else {
            return;
        };
        let is_long_running = job.submission.spec.long_running;
        let kind = StepKind {
            gang: spec.gang,
            long_running: is_long_running,
        };
        let max_attempts = job.submission.max_attempts.max(1);
        let Some(step) = job.step_mut(task) else {
            return;
        };
        let failures = step.record_completion(completion, kind);
        let is_done = step.is_done();
        if !is_long_running && !is_done && failures >= max_attempts {
            self.end_job(task.job, JobPhase::Failed);
        }
    }

    /// Prunes completed occurrences of a job after one of its runs was closed, and ends the job once all occurrences
    /// are done.
    fn advance_job(&mut self, id: JobId) {
        let Some(job) = self.state.job_mut(&id) else {
            return;
        };
        let done_before = count_done_occurrences(job);
        let pruned_before = job.occurrences_done;
        job.prune();
        if !job.phase.is_terminal() {
            let retained = count_done_occurrences(job);
            job.occurrences_done = pruned_before + (done_before - retained);
            if pruned_before + done_before == job.submission.spec.occurrences() {
                self.end_job(id, JobPhase::Succeeded);
            }
        }
        self.changes.push(Change::JobChanged(id));
    }

    pub(crate) fn mark_runs_lost(&mut self, runs: &[RunStart]) -> Outcome {
        for lost in runs {
            if self.close_run(&lost.incarnation, lost.task, lost.run, None) {
                self.record_checkpoint(lost);
                self.advance_job(lost.task.job);
            }
        }
        Outcome::Done
    }

    fn record_checkpoint(&mut self, lost: &RunStart) {
        if lost.checkpoint.is_empty() {
            return;
        }
        let job = self.state.job_mut(&lost.task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(&lost.task)) {
            task.checkpoint = lost.checkpoint.clone();
        }
    }

    /// Closes all runs of a worker incarnation. An ended incarnation never runs anything again, so its record is removed.
    pub(crate) fn mark_incarnation_lost(&mut self, incarnation: &str, has_ended: bool) -> Outcome {
        let Some(worker) = self.state.workers.get_mut(incarnation) else {
            return Outcome::NotApplicable;
        };
        worker.ended |= has_ended;
        for (task, run) in worker.runs.clone() {
            if self.close_run(incarnation, task, run, None) {
                self.advance_job(task.job);
            }
        }
        if has_ended {
            self.state.workers.remove(incarnation);
        }
        Outcome::Done
    }
}

/// Counts the completed occurrences that have steps and have not been pruned.
fn count_done_occurrences(job: &Job) -> u32 {
    job.occurrences
        .values()
        .filter(|occurrence| occurrence.is_done() && !occurrence.steps.is_empty())
        .count() as u32
}
