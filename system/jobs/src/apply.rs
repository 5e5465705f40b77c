//! Applies log entries: validates the fencing token and dispatches the command.
use crate::{
    change::{Applied, Outcome},
    transition::Transition,
    State,
};
use magpiegap_protocol::{Command, Entry, RoleToken};

impl State {
    /// Applies the next entry. An entry with an outdated fencing token changes only the log position.
    pub fn apply(&mut self, entry: &Entry) -> Applied {
        self.position = entry.position;
        let is_fenced = entry
            .role_token
            .as_ref()
            .is_some_and(|role_token| !self.is_current(role_token));
        let mut transition = Transition::new(self, entry.wall_ms);
        let outcome = if is_fenced {
            Outcome::Fenced
        } else {
            transition.execute(&entry.command)
        };
        Applied {
            outcome,
            changes: transition.changes,
        }
    }

    fn is_current(&self, role_token: &RoleToken) -> bool {
        self.fencing_token(&role_token.role) == role_token.token
    }
}

impl Transition<'_> {
    fn execute(&mut self, command: &Command) -> Outcome {
        match command {
            Command::Noop => Outcome::Done,
            Command::ReplaceConfiguration {
                base,
                version,
                body,
                change,
            } => self.replace_configuration(*base, *version, body, change),
            Command::ClaimRole {
                role,
                holder,
                expected,
            } => self.claim_role(role, *holder, *expected),
            Command::SubmitJob { submission, runs } => self.submit_job(submission, runs),
            Command::CancelJob { job } => self.cancel_job(*job),
            Command::StartRuns { runs } => self.start_runs(runs),
            Command::RecordCompletions {
                incarnation,
                acknowledged_completion,
                completions,
            } => self.record_completions(incarnation, *acknowledged_completion, completions),
            Command::MarkRunsLost { runs } => self.mark_runs_lost(runs),
            Command::MarkIncarnationLost { incarnation, ended } => {
                self.mark_incarnation_lost(incarnation, *ended)
            }
            Command::OpenOccurrence { job, occurrence } => self.open_occurrence(*job, *occurrence),
            Command::RemoveJobs { jobs } => self.remove_jobs(jobs),
        }
    }
}
