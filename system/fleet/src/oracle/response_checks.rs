//! Checks of responses: an acknowledged change is never reverted, rejected or missing from a later response.
use super::{history::AcceptedChange, Oracle};
use crate::{
    client::{ClientJob, ConfigurationChange},
    worker::checkpoint_owner,
};
use magpiegap_protocol::{
    CoordinatorRequest, CoordinatorResponse, Feed, JobId, JobPhase, Member, StepSpec, TaskId,
};

/// Maximum staleness of the configuration that a coordinator serves, in milliseconds. A coordinator serves as long as
/// its last quorum contact is at most 0.6 s old, and it learns of commits slightly later than the tail.
const MAX_FEED_AGE_MS: u64 = 1000;
/// Time after which every coordinator must know an accepted job, in milliseconds.
const VISIBLE_WITHIN_MS: u64 = 3000;

/// Number of operators: with several, a rejected change may conflict with the change of another operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OperatorCount {
    One,
    Several,
}

/// A response to an observer.
#[derive(Clone, Copy)]
pub(crate) struct Observation<'a> {
    pub requested_at: u64,
    /// The coordinator that responded.
    pub responder: Member,
    pub request: &'a CoordinatorRequest,
    pub response: &'a CoordinatorResponse,
}

impl Oracle {
    /// Records an accepted change, and checks it against earlier changes and rejections.
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
                format!("two different configurations were accepted as version {version}"),
            );
        }
        let is_conflicting = |accepted: &AcceptedChange| {
            accepted.change.base == change.base && accepted.change != *change
        };
        if self.history.accepted_changes.values().any(is_conflicting) {
            let base = change.base;
            self.report(
                at,
                format!("two different changes to configuration {base} were accepted"),
            );
        }
        if self.history.rejected_changes.contains(change) {
            let version = change.version;
            self.report(
                at,
                format!("configuration {version} was rejected and then accepted"),
            );
        }
    }

    /// Records a permanently rejected change, and checks that it was not accepted before.
    pub(crate) fn change_rejected(
        &mut self,
        at: u64,
        change: &ConfigurationChange,
        operators: OperatorCount,
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
                format!("configuration {version} was accepted and then rejected"),
            );
        }
        if operators == OperatorCount::One {
            self.report(
                at,
                format!("configuration {version} was rejected although there is only one operator"),
            );
        }
        self.history.rejected_changes.insert(change.clone());
    }

    /// Checks that a coordinator's active configuration was not rejected.
    pub(crate) fn check_active_configuration(&mut self, at: u64, version: u64, body: &[u8]) {
        let was_rejected = self
            .history
            .rejected_changes
            .iter()
            .any(|change| change.version == version && change.body == body);
        if was_rejected {
            self.report(
                at,
                format!("configuration {version} was rejected but is active"),
            );
        }
    }

    /// Checks a response to an observer.
    pub(crate) fn observed(&mut self, now: u64, observation: Observation<'_>) {
        let responder = observation.responder;
        match (observation.request, observation.response) {
            (CoordinatorRequest::Poll(_), CoordinatorResponse::Feed(feed)) => {
                self.check_feed(now, responder, feed);
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
                        format!("{responder} reports no such job for the accepted job {job}"),
                    );
                }
            }
            _ => {}
        }
    }

    fn check_feed(&mut self, now: u64, responder: Member, feed: &Feed) {
        let version = feed.configuration_version;
        let min_version = self
            .history
            .newest_version_at(now.saturating_sub(MAX_FEED_AGE_MS));
        if version < min_version {
            self.report(
                now,
                format!(
                    "{responder} serves configuration {version}, but {min_version} was acknowledged more than \
                     {MAX_FEED_AGE_MS} ms ago"
                ),
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
        let had_ended = terminal
            .into_iter()
            .chain(cancelled)
            .any(|since| *since < observation.requested_at);
        if had_ended {
            let responder = observation.responder;
            let phase_name = phase.as_str();
            self.report(
                now,
                format!("{responder} reports job {job} as {phase_name} after it had ended"),
            );
        }
    }

    /// Checks the phase that a client received for its job; `None` means that the job was reported as unknown.
    pub(crate) fn phase_reported(&mut self, at: u64, client: &ClientJob, phase: Option<JobPhase>) {
        let job = client.id();
        match phase {
            None => self.check_unknown(at, job),
            Some(JobPhase::Succeeded) => {
                if let Some(task) = self.first_unfinished_task(client) {
                    self.report(
                        at,
                        format!("job {job} is reported as succeeded, but {task} has not succeeded"),
                    );
                }
            }
            Some(JobPhase::Cancelled) if !self.cancel_requested.contains(&job) => {
                self.report(
                    at,
                    format!(
                        "job {job} is reported as cancelled, but no cancellation was requested"
                    ),
                );
            }
            Some(JobPhase::Failed) if !self.failures.keys().any(|task| task.job == job) => {
                self.report(
                    at,
                    format!("job {job} is reported as failed, but none of its runs failed"),
                );
            }
            _ => {}
        }
    }

    /// Checks that an accepted job is not unknown for too long. A coordinator that has just been replaced may briefly
    /// not know the job.
    fn check_unknown(&mut self, at: u64, job: JobId) {
        let must_be_known = self
            .accepted
            .get(&job)
            .is_some_and(|since| at > since + VISIBLE_WITHIN_MS);
        if must_be_known {
            self.report(
                at,
                format!("job {job} was accepted but is reported as unknown"),
            );
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
