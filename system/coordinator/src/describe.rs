//! Descriptions of the cluster and its jobs for operators. The serialized field names are part of the operator
//! interface.
use crate::{coordinator::Coordinator, counters::Counters};
use magpiegap_jobs::{RoleState, State};
use magpiegap_protocol::{CoordinatorResponse, JobId, Role};
use magpiegap_scheduler::{Scheduler, SchedulerSummary};
use serde::{Deserialize, Serialize};

/// The state of the cluster as seen by one coordinator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterDescription {
    /// Number of the newest known view.
    pub view: u64,
    /// Whether this coordinator's first proposal in the view is committed. Every proposal of earlier views is then
    /// committed or lost.
    #[serde(rename = "settled")]
    pub has_committed_in_view: bool,
    /// Number of this coordinator's proposals in flight.
    pub proposals: usize,
    /// Number of operations without an outcome.
    pub requests: usize,
    /// Addresses of the replicas in the chain, head first.
    pub chain: Vec<String>,
    /// Number of voters for the next view.
    pub voters: usize,
    /// Whether this coordinator is active in the chain.
    pub active: bool,
    /// Time since the view was last confirmed to be the newest, in milliseconds; `None` without any contact with a
    /// majority in this view. This description may be outdated by that much.
    #[serde(default)]
    pub contact_ms: Option<u64>,
    /// Index of the newest entry known to be committed.
    pub committed: u64,
    /// Moving average of the time from a local proposal until it is applied here, in milliseconds.
    #[serde(default)]
    pub commit_ms: u64,
    /// Number of agents with a pending long poll at this coordinator.
    #[serde(default)]
    pub agents: usize,
    /// Number of these agents without the newest configuration.
    #[serde(default)]
    pub agents_behind: usize,
    /// Version of the current configuration.
    pub configuration: u64,
    /// Number of jobs in the state, including ended jobs that are still retained.
    pub jobs: usize,
    /// Number of jobs that have not ended.
    pub open_jobs: u64,
    /// Number of recorded cancellations of jobs that were not known.
    #[serde(default)]
    pub tombstones: u64,
    /// Holders of the singleton roles.
    pub roles: Vec<RoleDescription>,
    /// Schedulers whose roles this coordinator holds.
    pub schedulers: Vec<SchedulerDescription>,
    /// Counters since the start of the process.
    pub counters: Counters,
}

/// The holder of a role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleDescription {
    /// The role.
    pub role: String,
    /// The holder's address.
    pub holder: String,
    /// The fencing token, which increases with each claim.
    pub token: u64,
}

/// A scheduler and its metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulerDescription {
    /// The service.
    pub service: String,
    /// Its metrics.
    #[serde(flatten)]
    pub summary: SchedulerSummary,
}

impl RoleDescription {
    /// Describes all roles that have ever been claimed.
    pub fn of_state(state: &State) -> Vec<RoleDescription> {
        let describe = |(role, state): (&Role, &RoleState)| RoleDescription {
            role: match role {
                Role::PlatformReader => "platform-reader".to_owned(),
                Role::Scheduler(service) => format!("scheduler {service}"),
            },
            holder: state.holder.member.ip().to_string(),
            token: state.token.0,
        };
        state.roles.iter().map(describe).collect()
    }
}

impl Coordinator {
    /// Describes the cluster as seen by this coordinator.
    pub fn describe(&self) -> ClusterDescription {
        let view = self.replica.view();
        let state = &self.machine.state;
        ClusterDescription {
            view: view.number.0,
            has_committed_in_view: self.has_committed_in_view,
            proposals: self.proposals.len(),
            requests: self.operations.len(),
            chain: view
                .chain
                .iter()
                .map(|replica| replica.member.ip().to_string())
                .collect(),
            voters: view.voters.len(),
            active: self.replica.is_active(),
            contact_ms: self.contact_age_ms(),
            committed: self.replica.commit_index().0,
            commit_ms: self.commit_latency_ms,
            agents: self.pending_polls.len(),
            agents_behind: self.agents_behind(),
            configuration: state.configuration.version,
            jobs: state.jobs.len(),
            open_jobs: state.open_jobs.values().sum(),
            tombstones: state.service_jobs.tombstones(),
            roles: RoleDescription::of_state(state),
            schedulers: self.describe_schedulers(),
            counters: self.counters,
        }
    }

    fn agents_behind(&self) -> usize {
        let newest = self.machine.state.configuration.version;
        self.pending_polls
            .iter()
            .filter(|pending| pending.poll.configuration_version != newest)
            .count()
    }

    fn contact_age_ms(&self) -> Option<u64> {
        let confirmed_at = self.replica.confirmed_at(self.now);
        (confirmed_at > 0).then(|| self.now.saturating_sub(confirmed_at))
    }

    fn describe_schedulers(&self) -> Vec<SchedulerDescription> {
        let describe = |(service, scheduler): (&String, &Scheduler)| SchedulerDescription {
            service: service.clone(),
            summary: scheduler.summary(),
        };
        self.schedulers.iter().map(describe).collect()
    }

    /// Explains where the tasks of a job run and why others wait, or redirects to the coordinator that can.
    pub(crate) fn explain(&self, job: JobId) -> CoordinatorResponse {
        let state = &self.machine.state;
        let Some(known) = state.jobs.get(&job) else {
            let is_known_absent =
                self.can_serve_reads() && self.replica.has_quorum_contact(self.now);
            return if is_known_absent {
                CoordinatorResponse::NoSuchJob
            } else {
                CoordinatorResponse::NotServing
            };
        };
        let service = &known.submission.service;
        if let Some(scheduler) = self.schedulers.get(service).filter(|_| self.holds_lease()) {
            let text = scheduler
                .explain(state, job)
                .and_then(|explanation| serde_json::to_string(&explanation).ok());
            return text.map_or(
                CoordinatorResponse::NotServing,
                CoordinatorResponse::Description,
            );
        }
        match state.roles.get(&Role::Scheduler(service.clone())) {
            Some(role) if role.holder != self.replica.own() => {
                CoordinatorResponse::Redirect(role.holder.member.address)
            }
            _ => CoordinatorResponse::NotServing,
        }
    }
}
