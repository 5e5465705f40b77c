//! Checks of responses: nothing that was acknowledged is taken back, rejected or shown as it was before.
use super::{history::AcceptedChange, Oracle};
use crate::{
    client::{ClientJob, ConfigurationChange},
    worker::checkpoint_owner,
};
use magpiegap_protocol::{
    CoordinatorRequest, CoordinatorResponse, Feed, JobId, JobPhase, Member, StepSpec, TaskId,
};

/// A coordinator may hand out a configuration that was replaced this long ago, and not longer: it goes by quorum contact
/// of 0.6 s ago, and learns of what is committed a moment later than the tail.
const MAX_FEED_AGE_MS: u64 = 1000;
/// An accepted job must be known everywhere after this time.
const VISIBLE_WITHIN_MS: u64 = 3000;

/// Whether other operators may have sent the change that a rejected one conflicts with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Operators {
    One,
    Several,
}

/// A response to somebody who only observes.
#[derive(Clone, Copy)]
pub(crate) struct Observation<'a> {
    pub requested_at: u64,
    /// The coordinator that responds.
    pub by: Member,
    pub request: &'a CoordinatorRequest,
    pub response: &'a CoordinatorResponse,
}

impl Oracle {
    /// A change was acknowledged.
    pub(crate) fn change_accepted(&mut self, at: u64, change: &ConfigurationChange) {
        let first = self
            .history
            .accepted_changes
            .entry(change.version)
            .or_insert_with(|| AcceptedChange {
                change: change.clone(),
                since: at,
            });
        if first.change != *change {
            let version = change.version;
            self.report(
                at,
                format!("two configurations were confirmed under number {version}"),
            );
        }
        let is_rival = |accepted: &AcceptedChange| {
            accepted.change.base == change.base && accepted.change != *change
        };
        if self.history.accepted_changes.values().any(is_rival) {
            let base = change.base;
            self.report(
                at,
                format!("two configurations were confirmed on version {base}"),
            );
        }
        if self.history.rejected_changes.contains(change) {
            let version = change.version;
            self.report(
                at,
                format!("configuration {version} was refused and then confirmed"),
            );
        }
    }

    /// A change was rejected for good.
    pub(crate) fn change_rejected(
        &mut self,
        at: u64,
        change: &ConfigurationChange,
        operators: Operators,
    ) {
        let version = change.version;
        let was_accepted = self
            .history
            .accepted_changes
            .get(&version)
            .is_some_and(|accepted| accepted.change == *change);
        if was_accepted {
            self.report(
                at,
                format!("configuration {version} was confirmed and then refused"),
            );
        }
        if operators == Operators::One {
            self.report(
                at,
                format!("configuration {version} was refused, and nobody else sends any"),
            );
        }
        self.history.rejected_changes.insert(change.clone());
    }

    /// A configuration is in force.
    pub(crate) fn configuration_in_force(&mut self, at: u64, version: u64, body: &[u8]) {
        let was_rejected = self
            .history
            .rejected_changes
            .iter()
            .any(|change| change.version == version && change.body == body);
        if was_rejected {
            self.report(
                at,
                format!("configuration {version} was refused and is in force"),
            );
        }
    }

    /// An observer has a response.
    pub(crate) fn observed(&mut self, now: u64, observation: Observation<'_>) {
        let by = observation.by;
        match (observation.request, observation.response) {
            (CoordinatorRequest::Poll(_), CoordinatorResponse::Feed(feed)) => {
                self.check_feed(now, by, feed);
            }
            (CoordinatorRequest::Status { job, .. }, CoordinatorResponse::Phase(phase)) => {
                self.check_phase(now, observation, *job, *phase);
            }
            (CoordinatorRequest::Status { job, .. }, CoordinatorResponse::NoSuchJob) => {
                let was_accepted = self
                    .accepted
                    .get(job)
                    .is_some_and(|since| *since < observation.requested_at);
                if was_accepted {
                    self.report(
                        now,
                        format!("{by} denies job {job}, which had been accepted"),
                    );
                }
            }
            _ => {}
        }
    }

    fn check_feed(&mut self, now: u64, by: Member, feed: &Feed) {
        let version = feed.configuration_version;
        let min_version = self
            .history
            .newest_version_at(now.saturating_sub(MAX_FEED_AGE_MS));
        if version < min_version {
            self.report(
                now,
                format!("{by} hands out configuration {version} long after {min_version}"),
            );
        }
    }

    fn check_phase(&mut self, now: u64, observation: Observation<'_>, job: JobId, phase: JobPhase) {
        if phase.is_terminal() {
            self.history.terminal_jobs.entry(job).or_insert(now);
            return;
        }
        let terminal = self.history.terminal_jobs.get(&job);
        let cancelled = self.cancelled.get(&job);
        let was_over = terminal
            .into_iter()
            .chain(cancelled)
            .any(|since| *since < observation.requested_at);
        if was_over {
            let by = observation.by;
            let shown = phase.as_str();
            self.report(
                now,
                format!("{by} shows job {job} as {shown}, and it had ended"),
            );
        }
    }

    /// A client was shown its job's phase; `None`: that there is no such job.
    pub(crate) fn phase_shown(&mut self, at: u64, client: &ClientJob, phase: Option<JobPhase>) {
        let job = client.id();
        match phase {
            None => self.check_unknown(at, job),
            Some(JobPhase::Succeeded) => {
                if let Some(task) = self.first_unfinished_task(client) {
                    self.report(
                        at,
                        format!("job {job} is shown as succeeded, and {task} has not ended so"),
                    );
                }
            }
            Some(JobPhase::Cancelled) if !self.cancel_requested.contains(&job) => {
                self.report(
                    at,
                    format!("job {job} is shown as cancelled, and nobody asked for it"),
                );
            }
            Some(JobPhase::Failed) if !self.failures.keys().any(|task| task.job == job) => {
                self.report(
                    at,
                    format!("job {job} is shown as failed, and none of its runs has failed"),
                );
            }
            _ => {}
        }
    }

    /// A coordinator that was replaced a moment ago may not know an accepted job yet.
    fn check_unknown(&mut self, at: u64, job: JobId) {
        let must_be_known = self
            .accepted
            .get(&job)
            .is_some_and(|since| at > since + VISIBLE_WITHIN_MS);
        if must_be_known {
            self.report(at, format!("job {job} was accepted and isn't known"));
        }
    }

    fn first_unfinished_task(&self, client: &ClientJob) -> Option<TaskId> {
        let steps: &[StepSpec] = &client.submission.spec.steps;
        let owner_of = |task: TaskId| match steps.get(task.step as usize) {
            Some(step) => checkpoint_owner(task, step),
            None => task,
        };
        client
            .tasks()
            .into_iter()
            .find(|task| !self.done.contains_key(&owner_of(*task)))
    }
}
