//! The state of the cluster, for operators.
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
    /// All that was proposed in earlier views is settled.
    pub settled: bool,
    /// Proposals of this coordinator that are under way.
    pub proposals: usize,
    /// Requests that wait for a proposal.
    pub requests: usize,
    /// The chain's machines, head first.
    pub chain: Vec<String>,
    /// How many vote on the next view.
    pub voters: usize,
    /// This coordinator takes part in the chain.
    pub active: bool,
    /// How long ago its view was surely the newest one, in milliseconds; `None`: it has had no contact with a majority
    /// in this view. What is told here may be as old as that.
    #[serde(default)]
    pub contact_ms: Option<u64>,
    /// The newest entry that it knows to be committed.
    pub committed: u64,
    /// About how long a proposal of this coordinator takes until it is applied here, in milliseconds.
    #[serde(default)]
    pub commit_ms: u64,
    /// Agents that wait for news here.
    #[serde(default)]
    pub agents: usize,
    /// Those of them that do not have the newest configuration yet.
    #[serde(default)]
    pub agents_behind: usize,
    /// Version of the configuration.
    pub configuration: u64,
    /// Jobs in the state, with those that have ended and are still shown.
    pub jobs: usize,
    /// Jobs that have not ended.
    pub open_jobs: u64,
    /// Who holds which role.
    pub roles: Vec<RoleDescription>,
    /// The schedulers that this coordinator holds.
    pub schedulers: Vec<SchedulerDescription>,
    /// What it has counted since its start.
    pub counters: Counters,
}

/// Who holds a role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleDescription {
    /// The role.
    pub role: String,
    /// The holder's address.
    pub holder: String,
    /// Rises with each holder.
    pub token: u64,
}

/// One scheduler.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SchedulerDescription {
    /// The service.
    pub service: String,
    /// Its figures.
    #[serde(flatten)]
    pub summary: Summary,
}

impl RoleDescription {
    /// All roles that were ever held.
    pub fn all(state: &State) -> Vec<RoleDescription> {
        let described = |(role, held): (&Role, &RoleState)| RoleDescription {
            role: match role {
                Role::PlatformReader => "platform-reader".to_owned(),
                Role::Scheduler(service) => format!("scheduler {service}"),
            },
            holder: held.holder.member.ip().to_string(),
            token: held.token.0,
        };
        state.roles.iter().map(described).collect()
    }
}

impl Coordinator {
    /// The state of the cluster as this coordinator sees it.
    pub fn describe(&self) -> ClusterDescription {
        let view = self.replica.view();
        let state = &self.machine.state;
        ClusterDescription {
            view: view.number.0,
            settled: self.settled_in_view,
            proposals: self.proposals.len(),
            requests: self.pending.len(),
            chain: view
                .chain
                .iter()
                .map(|replica| replica.member.ip().to_string())
                .collect(),
            voters: view.voters.len(),
            active: self.replica.is_active(),
            contact_ms: self.contact_age_ms(),
            committed: self.replica.committed().0,
            commit_ms: self.commit_ms,
            agents: self.waiters.len(),
            agents_behind: self.agents_behind(),
            configuration: state.configuration.version,
            jobs: state.jobs.len(),
            open_jobs: state.open_jobs.values().sum(),
            roles: RoleDescription::all(state),
            schedulers: self.describe_schedulers(),
            counters: self.counters,
        }
    }

    fn agents_behind(&self) -> usize {
        let newest = self.machine.state.configuration.version;
        self.waiters
            .iter()
            .filter(|waiter| waiter.poll.configuration_version != newest)
            .count()
    }

    fn contact_age_ms(&self) -> Option<u64> {
        let confirmed_at = self.replica.confirmed_at(self.now);
        (confirmed_at > 0).then(|| self.now.saturating_sub(confirmed_at))
    }

    fn describe_schedulers(&self) -> Vec<SchedulerDescription> {
        let described = |(service, scheduler): (&String, &Scheduler)| SchedulerDescription {
            service: service.clone(),
            summary: scheduler.summary(),
        };
        self.schedulers.iter().map(described).collect()
    }

    /// What there is to say of a job, or who can say it.
    pub(crate) fn explain(&self, job: JobId) -> CoordinatorResponse {
        let state = &self.machine.state;
        let Some(known) = state.jobs.get(&job) else {
            return match self.answers_reads() && self.replica.has_contact(self.now) {
                true => CoordinatorResponse::NoSuchJob,
                false => CoordinatorResponse::NotServing,
            };
        };
        let service = &known.submission.service;
        if let Some(scheduler) = self.schedulers.get(service).filter(|_| self.may_act()) {
            let text = scheduler
                .explain(state, job)
                .and_then(|said| serde_json::to_string(&said).ok());
            return text.map_or(
                CoordinatorResponse::NotServing,
                CoordinatorResponse::Description,
            );
        }
        match state.roles.get(&Role::Scheduler(service.clone())) {
            Some(held) if held.holder != self.replica.own() => {
                CoordinatorResponse::Elsewhere(held.holder.member.address)
            }
            _ => CoordinatorResponse::NotServing,
        }
    }
}
