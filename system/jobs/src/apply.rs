//! Applies the entries of the log.
use crate::{ActiveRun, Job, RoleState, State};
use magpiegap_protocol::{
    Command, EndKind, Entry, Fence, JobId, JobPhase, Replica, Role, RunEnd, RunId, RunStart, Submission,
    TaskId, WallMillis,
};

/// What became of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Done,
    /// The same had been done before.
    Repeated,
    /// Its proposer's role has passed to another.
    Fenced,
    /// It does not apply to the state as it is.
    Void,
    /// The configuration builds on another version than the current one.
    Conflict,
    /// The configuration's version isn't above the current one.
    Stale,
}

/// Something that an entry has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// There is another configuration.
    Configuration,
    /// A role has another holder.
    Role(Role),
    /// A job is there, has moved on, or has ended.
    Job(JobId),
    /// A run may be going on from now on.
    RunOpened(RunStart),
    /// A run is surely not going on any more.
    RunClosed {
        /// The task.
        task: TaskId,
        /// The run.
        run: RunId,
        /// The worker's life.
        instance: String,
        /// How it ended; `None`: it was lost.
        kind: Option<EndKind>,
    },
    /// Ends of a worker's life were noted up to this number.
    EndsNoted {
        /// The worker's life.
        instance: String,
        /// The number.
        last_seen: u64,
    },
    /// A job was forgotten.
    JobForgotten(JobId),
}

/// What applying an entry did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// What became of it.
    pub outcome: Outcome,
    /// All that it changed.
    pub changes: Vec<Change>,
}

/// A 64-bit FNV-1a hash: the same on every machine and in every build.
fn fingerprint(base: u64, body: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    let hash = base.to_le_bytes().iter().fold(OFFSET, step);
    body.iter().fold(hash, step)
}

impl State {
    /// Applies the next entry.
    pub fn apply(&mut self, entry: &Entry) -> Applied {
        self.position = entry.position;
        let mut changes = Vec::new();
        let outcome = match &entry.fence {
            Some(fence) if !self.holds(fence) => Outcome::Fenced,
            _ => self.run(&entry.command, entry.wall_ms, &mut changes),
        };
        Applied { outcome, changes }
    }

    fn holds(&self, fence: &Fence) -> bool {
        self.token(&fence.role) == fence.token
    }

    fn run(&mut self, command: &Command, at: WallMillis, changes: &mut Vec<Change>) -> Outcome {
        match command {
            Command::Noop => Outcome::Done,
            Command::ReplaceConfiguration { base, version, body } => {
                self.replace_configuration(*base, *version, body, changes)
            }
            Command::ClaimRole { role, holder, expected } => self.claim(role, *holder, *expected, changes),
            Command::SubmitJob { submission, runs } => self.submit(submission, runs, changes),
            Command::CancelJob { job } => self.cancel(*job, at, changes),
            Command::StartRuns { runs } => self.start_runs(runs, changes),
            Command::NoteEnds { instance, last_seen, ends } => {
                self.note_ends(instance, *last_seen, ends, at, changes)
            }
            Command::LoseRuns { runs } => self.lose_runs(runs, at, changes),
            Command::LoseInstance { instance, ended } => self.lose_instance(instance, *ended, at, changes),
            Command::OpenTime { job, time } => self.open_time(*job, *time, changes),
            Command::ForgetJobs { jobs } => self.forget(jobs, changes),
        }
    }

    fn replace_configuration(
        &mut self,
        base: u64,
        version: u64,
        body: &[u8],
        changes: &mut Vec<Change>,
    ) -> Outcome {
        let fingerprint = fingerprint(base, body);
        if self.configuration.taken.get(&version) == Some(&fingerprint) {
            return Outcome::Repeated;
        }
        if base != self.configuration.version {
            return Outcome::Conflict;
        }
        if version <= self.configuration.version {
            return Outcome::Stale;
        }
        self.configuration.take(version, body, fingerprint);
        changes.push(Change::Configuration);
        Outcome::Done
    }

    fn claim(&mut self, role: &Role, holder: Replica, expected: u64, changes: &mut Vec<Change>) -> Outcome {
        if self.token(role) != expected {
            return Outcome::Void;
        }
        self.roles.insert(role.clone(), RoleState { holder, token: expected + 1 });
        changes.push(Change::Role(role.clone()));
        Outcome::Done
    }

    fn submit(&mut self, submission: &Submission, runs: &[RunStart], changes: &mut Vec<Change>) -> Outcome {
        let id = submission.job;
        if self.jobs.contains_key(&id) {
            return Outcome::Repeated;
        }
        *self.open_jobs.entry(submission.queue.clone()).or_default() += 1;
        self.jobs.insert(id, Job::new(submission.clone()));
        changes.push(Change::Job(id));
        self.start_runs(runs, changes);
        Outcome::Done
    }

    fn cancel(&mut self, id: JobId, at: WallMillis, changes: &mut Vec<Change>) -> Outcome {
        match self.jobs.get(&id) {
            None => Outcome::Void,
            Some(job) if job.phase.ended() => Outcome::Repeated,
            Some(_) => {
                self.end_job(id, JobPhase::Cancelled, at);
                changes.push(Change::Job(id));
                Outcome::Done
            }
        }
    }

    fn end_job(&mut self, id: JobId, phase: JobPhase, at: WallMillis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.phase.ended() {
            return;
        }
        job.end(phase, at);
        job.clear_away();
        if let Some(count) = self.open_jobs.get_mut(&job.submission.queue) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.open_jobs.remove(&job.submission.queue);
            }
        }
    }

    fn start_runs(&mut self, runs: &[RunStart], changes: &mut Vec<Change>) -> Outcome {
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
        let worker = self.workers.get(&start.instance);
        if worker.is_some_and(|worker| worker.ended || worker.runs.contains_key(&id)) {
            return None;
        }
        let job = self.jobs.get_mut(&id.job)?;
        if job.phase.ended() {
            return None;
        }
        let duplicates = job.submission.spec.steps.get(id.step as usize)?.allow_duplicate;
        let step = job.step_mut(&id)?;
        let task = step.tasks.get_mut(id.index as usize)?;
        if task.done || start.run <= task.last_run || (!duplicates && !task.active.is_empty()) {
            return None;
        }
        task.last_run = start.run;
        task.active.push(ActiveRun {
            run: start.run,
            instance: start.instance.clone(),
            checkpoint: start.checkpoint.clone(),
        });
        if job.phase == JobPhase::Pending {
            job.phase = JobPhase::Running;
        }
        self.workers.entry(start.instance.clone()).or_default().runs.insert(id, start.run);
        Some(())
    }

    fn note_ends(
        &mut self,
        instance: &str,
        last_seen: u64,
        ends: &[RunEnd],
        at: WallMillis,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        let worker = self.workers.entry(instance.to_owned()).or_default();
        if last_seen <= worker.last_seen {
            return Outcome::Repeated;
        }
        worker.last_seen = last_seen;
        for end in ends {
            if self.close_run(instance, end.task, end.run, Some(end.kind), changes) {
                self.record_end(end, at);
                self.settle(end.task.job, at, changes);
            }
        }
        changes.push(Change::EndsNoted { instance: instance.to_owned(), last_seen });
        Outcome::Done
    }

    /// Takes a run off the books; `false` when it wasn't on them.
    fn close_run(
        &mut self,
        instance: &str,
        task: TaskId,
        run: RunId,
        kind: Option<EndKind>,
        changes: &mut Vec<Change>,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(instance) else { return false };
        if worker.runs.get(&task) != Some(&run) {
            return false;
        }
        worker.runs.remove(&task);
        let state = self.jobs.get_mut(&task.job).and_then(|job| job.step_mut(&task));
        if let Some(state) = state.and_then(|step| step.tasks.get_mut(task.index as usize)) {
            state.active.retain(|active| active.run != run || active.instance != instance);
        }
        changes.push(Change::RunClosed { task, run, instance: instance.to_owned(), kind });
        true
    }

    /// Counts an end for its task or gang.
    fn record_end(&mut self, end: &RunEnd, at: WallMillis) {
        let Some(job) = self.jobs.get_mut(&end.task.job) else { return };
        if job.phase.ended() {
            return;
        }
        let Some(spec) = job.submission.spec.steps.get(end.task.step as usize) else { return };
        let (gang, lasting) = (spec.gang, job.submission.spec.long_running);
        let attempts = job.submission.max_attempts;
        let Some(step) = job.step_mut(&end.task) else { return };
        let Some(task) = step.tasks.get_mut(end.task.index as usize) else { return };
        if !end.checkpoint.is_empty() {
            task.checkpoint = end.checkpoint.clone();
        }
        let mut failures = 0;
        match end.kind {
            EndKind::Done if lasting => {}
            EndKind::Done if gang => {
                step.tasks.iter_mut().for_each(|task| task.done = true);
                step.done = step.tasks.len() as u32;
            }
            EndKind::Done => {
                step.done += u32::from(!task.done);
                task.done = true;
            }
            EndKind::Failed if gang => {
                if step.gang_failures.1 < end.run {
                    step.gang_failures = (step.gang_failures.0 + 1, end.run);
                }
                failures = step.gang_failures.0;
            }
            EndKind::Failed => {
                task.failures += 1;
                failures = task.failures;
            }
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {}
        }
        let open = !step.is_done();
        if !lasting && open && failures >= attempts.max(1) {
            self.end_job(end.task.job, JobPhase::Failed, at);
        }
    }

    /// Moves a job on after one of its runs was closed.
    fn settle(&mut self, id: JobId, at: WallMillis, changes: &mut Vec<Change>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let done = job.times.values().filter(|time| time.is_done() && !time.steps.is_empty()).count() as u32;
        let cleared = job.times_done;
        job.clear_away();
        if !job.phase.ended() {
            let left = job.times.values().filter(|time| time.is_done()).count() as u32;
            job.times_done = cleared + (done - left);
            if cleared + done == job.submission.spec.times() {
                self.end_job(id, JobPhase::Succeeded, at);
            }
        }
        changes.push(Change::Job(id));
    }

    fn lose_runs(&mut self, runs: &[RunStart], at: WallMillis, changes: &mut Vec<Change>) -> Outcome {
        for lost in runs {
            if self.close_run(&lost.instance, lost.task, lost.run, None, changes) {
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
        let job = self.jobs.get_mut(&lost.task.job);
        let step = job.and_then(|job| job.step_mut(&lost.task));
        if let Some(task) = step.and_then(|step| step.tasks.get_mut(lost.task.index as usize)) {
            task.checkpoint = lost.checkpoint.clone();
        }
    }

    fn lose_instance(
        &mut self,
        instance: &str,
        ended: bool,
        at: WallMillis,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        let Some(worker) = self.workers.get_mut(instance) else { return Outcome::Void };
        worker.ended |= ended;
        let runs: Vec<(TaskId, RunId)> = worker.runs.iter().map(|(task, run)| (*task, *run)).collect();
        for (task, run) in runs {
            if self.close_run(instance, task, run, None, changes) {
                self.settle(task.job, at, changes);
            }
        }
        if ended {
            self.workers.remove(instance);
        }
        Outcome::Done
    }

    fn open_time(&mut self, id: JobId, time: u32, changes: &mut Vec<Change>) -> Outcome {
        if !self.jobs.get_mut(&id).is_some_and(|job| job.open_time(time)) {
            return Outcome::Void;
        }
        changes.push(Change::Job(id));
        Outcome::Done
    }

    fn forget(&mut self, jobs: &[JobId], changes: &mut Vec<Change>) -> Outcome {
        for id in jobs {
            let over = self.jobs.get(id).is_some_and(|job| job.phase.ended() && !job.has_active());
            if over {
                self.jobs.remove(id);
                changes.push(Change::JobForgotten(*id));
            }
        }
        Outcome::Done
    }
}
