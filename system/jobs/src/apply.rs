//! Applies the entries of the log.
use crate::{
    change::{Applied, Change, Outcome},
    Job, RoleState, Shared, State,
};
use magpiegap_protocol::{
    fnv1a, Command, Entry, FencingToken, JobId, JobPhase, ReplicaId, Role, RoleToken, RunStart,
    Submission, WallMillis,
};

/// Tells configurations apart that came under the same number.
fn fingerprint(base: u64, body: &[u8]) -> u64 {
    fnv1a(base.to_le_bytes().iter().chain(body))
}

impl State {
    /// Applies the next entry.
    pub fn apply(&mut self, entry: &Entry) -> Applied {
        self.position = entry.position;
        let mut changes = Vec::new();
        let outcome = match &entry.role_token {
            Some(role_token) if !self.holds(role_token) => Outcome::Fenced,
            _ => self.run(&entry.command, entry.wall_ms, &mut changes),
        };
        Applied { outcome, changes }
    }

    fn holds(&self, role_token: &RoleToken) -> bool {
        self.token(&role_token.role) == role_token.token
    }

    fn run(&mut self, command: &Command, at: WallMillis, changes: &mut Vec<Change>) -> Outcome {
        match command {
            Command::Noop => Outcome::Done,
            Command::ReplaceConfiguration {
                base,
                version,
                body,
                change,
            } => self.replace_configuration(*base, *version, body, change, changes),
            Command::ClaimRole {
                role,
                holder,
                expected,
            } => self.claim(role, *holder, *expected, changes),
            Command::SubmitJob { submission, runs } => self.submit(submission, runs, changes),
            Command::CancelJob { job } => self.cancel(*job, at, changes),
            Command::StartRuns { runs } => self.start_runs(runs, changes),
            Command::RecordCompletions {
                incarnation,
                last_seen,
                ends,
            } => self.note_ends(incarnation, *last_seen, ends, at, changes),
            Command::LoseRuns { runs } => self.lose_runs(runs, at, changes),
            Command::LoseIncarnation { incarnation, ended } => {
                self.lose_instance(incarnation, *ended, at, changes)
            }
            Command::OpenOccurrence { job, occurrence } => {
                self.open_occurrence(*job, *occurrence, changes)
            }
            Command::ForgetJobs { jobs } => self.forget(jobs, changes),
        }
    }

    fn replace_configuration(
        &mut self,
        base: u64,
        version: u64,
        body: &[u8],
        change: &[u8],
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
        self.configuration.take(version, body, change, fingerprint);
        changes.push(Change::Configuration);
        Outcome::Done
    }

    fn claim(
        &mut self,
        role: &Role,
        holder: ReplicaId,
        expected: FencingToken,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        if self.token(role) != FencingToken(expected.0) {
            return Outcome::Void;
        }
        self.roles.insert(
            role.clone(),
            RoleState {
                holder,
                token: expected.next(),
            },
        );
        changes.push(Change::Role(role.clone()));
        Outcome::Done
    }

    fn submit(
        &mut self,
        submission: &Submission,
        runs: &[RunStart],
        changes: &mut Vec<Change>,
    ) -> Outcome {
        let id = submission.job;
        if self.jobs.contains_key(&id) {
            return Outcome::Repeated;
        }
        *self.open_jobs.entry(submission.queue.clone()).or_default() += 1;
        self.jobs
            .insert(id, Shared::new(Job::new(submission.clone())));
        changes.push(Change::Job(id));
        self.start_runs(runs, changes);
        Outcome::Done
    }

    fn cancel(&mut self, id: JobId, at: WallMillis, changes: &mut Vec<Change>) -> Outcome {
        match self.jobs.get(&id) {
            None => Outcome::Void,
            Some(job) if job.phase.is_terminal() => Outcome::Repeated,
            Some(_) => {
                self.end_job(id, JobPhase::Cancelled, at);
                changes.push(Change::Job(id));
                Outcome::Done
            }
        }
    }

    pub(crate) fn end_job(&mut self, id: JobId, phase: JobPhase, at: WallMillis) {
        let Some(job) = self.jobs.get_mut(&id).map(Shared::make_mut) else {
            return;
        };
        if job.phase.is_terminal() {
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

    fn open_occurrence(
        &mut self,
        id: JobId,
        occurrence: u32,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        if !self
            .job_mut(&id)
            .is_some_and(|job| job.open_occurrence(occurrence))
        {
            return Outcome::Void;
        }
        changes.push(Change::Job(id));
        Outcome::Done
    }

    fn forget(&mut self, jobs: &[JobId], changes: &mut Vec<Change>) -> Outcome {
        for id in jobs {
            let over = self
                .jobs
                .get(id)
                .is_some_and(|job| job.phase.is_terminal() && !job.has_active());
            if over {
                self.jobs.remove(id);
                changes.push(Change::JobForgotten(*id));
            }
        }
        Outcome::Done
    }
}
