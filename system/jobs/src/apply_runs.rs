//! Applies what entries say of runs: that they begin, have ended, or are lost.
use crate::{
    change::{Change, Outcome},
    ActiveRun, State,
};
use magpiegap_protocol::{
    CompletionKind, JobId, JobPhase, RunCompletion, RunId, RunStart, TaskId, WallMillis,
};

impl State {
    pub(crate) fn start_runs(&mut self, runs: &[RunStart], changes: &mut Vec<Change>) -> Outcome {
        let mut outcome = Outcome::Void;
        for start in runs {
            if self.start_run(start).is_some() {
                changes.push(Change::RunOpened(start.clone()));
                outcome = Outcome::Done;
            }
        }
        outcome
    }

    /// Opens one run, where the task may have another one.
    fn start_run(&mut self, start: &RunStart) -> Option<()> {
        let id = start.task;
        let worker = self.workers.get(&start.incarnation);
        if worker.is_some_and(|worker| worker.ended || worker.runs.contains_key(&id)) {
            return None;
        }
        let job = self.job_mut(&id.job)?;
        if job.phase.is_terminal() {
            return None;
        }
        let duplicates = job
            .submission
            .spec
            .steps
            .get(id.step as usize)?
            .allow_duplicate;
        let step = job.step_mut(&id)?;
        let task = step.tasks.get_mut(id.index as usize)?;
        if task.done || start.run <= task.last_run || (!duplicates && !task.active.is_empty()) {
            return None;
        }
        task.last_run = start.run;
        task.active.push(ActiveRun {
            run: start.run,
            incarnation: start.incarnation.clone(),
            checkpoint: start.checkpoint.clone(),
        });
        if job.phase == JobPhase::Pending {
            job.phase = JobPhase::Running;
        }
        self.workers
            .entry(start.incarnation.clone())
            .or_default()
            .runs
            .insert(id, start.run);
        Some(())
    }

    pub(crate) fn note_ends(
        &mut self,
        incarnation: &str,
        last_seen: u64,
        ends: &[RunCompletion],
        at: WallMillis,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        let worker = self.workers.entry(incarnation.to_owned()).or_default();
        if last_seen <= worker.last_seen {
            return Outcome::Repeated;
        }
        worker.last_seen = last_seen;
        for end in ends {
            if self.close_run(incarnation, end.task, end.run, Some(end.kind), changes) {
                self.record_end(end, at);
                self.settle(end.task.job, at, changes);
            }
        }
        changes.push(Change::CompletionsRecorded {
            incarnation: incarnation.to_owned(),
            last_seen,
        });
        Outcome::Done
    }

    /// Takes a run off the books; `false` when it wasn't on them.
    fn close_run(
        &mut self,
        incarnation: &str,
        task: TaskId,
        run: RunId,
        kind: Option<CompletionKind>,
        changes: &mut Vec<Change>,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return false;
        };
        if worker.runs.get(&task) != Some(&run) {
            return false;
        }
        worker.runs.remove(&task);
        let state = self.job_mut(&task.job).and_then(|job| job.step_mut(&task));
        if let Some(state) = state.and_then(|step| step.tasks.get_mut(task.index as usize)) {
            state
                .active
                .retain(|active| active.run != run || active.incarnation != incarnation);
        }
        changes.push(Change::RunClosed {
            task,
            run,
            incarnation: incarnation.to_owned(),
            kind,
        });
        true
    }

    /// Counts an end for its task or gang; the job has failed with the last attempt.
    fn record_end(&mut self, end: &RunCompletion, at: WallMillis) {
        let Some(job) = self.job_mut(&end.task.job) else {
            return;
        };
        if job.phase.is_terminal() {
            return;
        }
        let Some(spec) = job.submission.spec.steps.get(end.task.step as usize) else {
            return;
        };
        let (gang, lasting) = (spec.gang, job.submission.spec.long_running);
        let attempts = job.submission.max_attempts.max(1);
        let Some(step) = job.step_mut(&end.task) else {
            return;
        };
        let failures = step.note_end(end, gang, lasting);
        let open = !step.is_done();
        if !lasting && open && failures >= attempts {
            self.end_job(end.task.job, JobPhase::Failed, at);
        }
    }

    /// Moves a job on after one of its runs was closed.
    fn settle(&mut self, id: JobId, at: WallMillis, changes: &mut Vec<Change>) {
        let Some(job) = self.job_mut(&id) else { return };
        let done = job
            .occurrences
            .values()
            .filter(|occurrence| occurrence.is_done() && !occurrence.steps.is_empty())
            .count() as u32;
        let cleared = job.occurrences_done;
        job.clear_away();
        if !job.phase.is_terminal() {
            let left = job
                .occurrences
                .values()
                .filter(|occurrence| occurrence.is_done())
                .count() as u32;
            job.occurrences_done = cleared + (done - left);
            if cleared + done == job.submission.spec.occurrences() {
                self.end_job(id, JobPhase::Succeeded, at);
            }
        }
        changes.push(Change::Job(id));
    }

    pub(crate) fn lose_runs(
        &mut self,
        runs: &[RunStart],
        at: WallMillis,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        for lost in runs {
            if self.close_run(&lost.incarnation, lost.task, lost.run, None, changes) {
                self.keep_checkpoint(lost);
                self.settle(lost.task.job, at, changes);
            }
        }
        Outcome::Done
    }

    fn keep_checkpoint(&mut self, lost: &RunStart) {
        if lost.checkpoint.is_empty() {
            return;
        }
        let job = self.job_mut(&lost.task.job);
        let step = job.and_then(|job| job.step_mut(&lost.task));
        if let Some(task) = step.and_then(|step| step.tasks.get_mut(lost.task.index as usize)) {
            task.checkpoint = lost.checkpoint.clone();
        }
    }

    pub(crate) fn lose_instance(
        &mut self,
        incarnation: &str,
        ended: bool,
        at: WallMillis,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        let Some(worker) = self.workers.get_mut(incarnation) else {
            return Outcome::Void;
        };
        worker.ended |= ended;
        let runs: Vec<(TaskId, RunId)> = worker
            .runs
            .iter()
            .map(|(task, run)| (*task, *run))
            .collect();
        for (task, run) in runs {
            if self.close_run(incarnation, task, run, None, changes) {
                self.settle(task.job, at, changes);
            }
        }
        if ended {
            self.workers.remove(incarnation);
        }
        Outcome::Done
    }
}
