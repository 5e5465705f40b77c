//! Descriptions of the cluster and its jobs, for operators. Their fields are names of the operator's interface.
use crate::{coordinator::Coordinator, counters::Counters};
use magpiegap_jobs::{RoleState, State};
use magpiegap_protocol::{CoordinatorResponse, JobId, Role};
use magpiegap_scheduler::{Scheduler, Summary};
use serde::{Deserialize, Serialize};

/// The cluster as one coordinator sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterDescription {
    /// Number of the newest view that it knows.
    pub view: u64,
    /// Whether all that was proposed in earlier views is committed or lost.
    #[serde(rename = "settled")]
    pub has_committed_in_view: bool,
    /// Proposals of this coordinator in flight.
    pub proposals: usize,
    /// Operations that wait for a proposal to be applied.
    pub requests: usize,
    /// Addresses of the chain's replicas, head first.
    pub chain: Vec<String>,
    /// How many vote on the next view.
    pub voters: usize,
    /// Whether this coordinator takes part in the chain.
    pub active: bool,
    /// How long ago its view was surely the newest one, in milliseconds; `None`: it has had no contact with a majority
    /// in this view. What is described here may be as old as that.
    #[serde(default)]
    pub contact_ms: Option<u64>,
    /// The newest entry that it knows to be committed.
    pub committed: u64,
    /// Moving average of the time from a proposal of this coordinator until it is applied here, in milliseconds.
    #[serde(default)]
    pub commit_ms: u64,
    /// Agents whose long polls wait here.
    #[serde(default)]
    pub agents: usize,
    /// Those of them that do not have the newest configuration yet.
    #[serde(default)]
    pub agents_behind: usize,
    /// Version of the configuration.
    pub configuration: u64,
    /// Jobs in the state, with those that have ended and are still retained.
    pub jobs: usize,
    /// Jobs that have not ended.
    pub open_jobs: u64,
    /// The holders of the roles.
    pub roles: Vec<RoleDescription>,
    /// The schedulers whose roles this coordinator holds.
    pub schedulers: Vec<SchedulerDescription>,
    /// What it has counted since its start.
    pub counters: Counters,
}

/// The holder of a role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleDescription {
    /// The role.
    pub role: String,
    /// The holder's address.
    pub holder: String,
    /// The fencing token; it rises with each holder.
    pub token: u64,
}

/// A scheduler and its metrics.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulerDescription {
    /// The service.
    pub service: String,
    /// Its metrics.
    #[serde(flatten)]
    pub summary: Summary,
}

impl RoleDescription {
    /// All roles that were ever held.
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
    /// The state of the cluster as this coordinator sees it.
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

    /// Explains a job: why its tasks wait, and where they run; or says which coordinator can.
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
