//! Applies what entries say of runs: that they are started, completed or lost.
use crate::{
    change::{Change, Outcome},
    job::StepKind,
    transition::Transition,
    ActiveRun, Job,
};
use magpiegap_protocol::{CompletionKind, JobId, JobPhase, RunCompletion, RunId, RunStart, TaskId};

impl Transition<'_> {
    pub(crate) fn start_runs(&mut self, runs: &[RunStart]) -> Outcome {
        let mut outcome = Outcome::Void;
        for start in runs {
            if self.start_run(start).is_some() {
                self.changes.push(Change::RunStarted(start.clone()));
                outcome = Outcome::Done;
            }
        }
        outcome
    }

    /// Opens one run; `None` where its task, job or worker can't have another one.
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
        let is_taken = !allows_duplicate && !task.active_runs.is_empty();
        if task.done || start.run <= task.last_run || is_taken {
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

    /// Removes a run from its worker and its task; `false` when the worker's record doesn't have it.
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

    /// Counts a completion for its task or gang; the job fails with the last attempt.
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

    /// Moves a job on after one of its runs was closed: drops what is done, and ends the job with its last occurrence.
    fn advance_job(&mut self, id: JobId) {
        let Some(job) = self.state.job_mut(&id) else {
            return;
        };
        let done = count_done_occurrences(job);
        let pruned_before = job.occurrences_done;
        job.prune();
        if !job.phase.is_terminal() {
            let still_active = count_done_occurrences(job);
            job.occurrences_done = pruned_before + (done - still_active);
            if pruned_before + done == job.submission.spec.occurrences() {
                self.end_job(id, JobPhase::Succeeded);
            }
        }
        self.changes.push(Change::JobChanged(id));
    }

    pub(crate) fn lose_runs(&mut self, runs: &[RunStart]) -> Outcome {
        for lost in runs {
            if self.close_run(&lost.incarnation, lost.task, lost.run, None) {
                self.keep_checkpoint(lost);
                self.advance_job(lost.task.job);
            }
        }
        Outcome::Done
    }

    fn keep_checkpoint(&mut self, lost: &RunStart) {
        if lost.checkpoint.is_empty() {
            return;
        }
        let job = self.state.job_mut(&lost.task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(&lost.task)) {
            task.checkpoint = lost.checkpoint.clone();
        }
    }

    /// Closes all runs of an incarnation of a worker. One that has ended never runs anything again.
    pub(crate) fn lose_incarnation(&mut self, incarnation: &str, has_ended: bool) -> Outcome {
        let Some(worker) = self.state.workers.get_mut(incarnation) else {
            return Outcome::Void;
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

/// How many occurrences that have steps are done, without those that were pruned.
fn count_done_occurrences(job: &Job) -> u32 {
    job.occurrences
        .values()
        .filter(|occurrence| occurrence.is_done() && !occurrence.steps.is_empty())
        .count() as u32
}
