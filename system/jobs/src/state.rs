//! The whole replicated state.
use crate::{Job, Shared};
use magpiegap_protocol::{FencingToken, JobId, LogPosition, ReplicaId, Role, RunId, TaskId};
use minicbor::{Decode, Encode};
use std::collections::BTreeMap;

/// How many configurations are remembered, so that one sent again is known.
const REMEMBERED_CONFIGURATIONS: usize = 4096;

/// The newest configuration and those before it.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationState {
    /// Its version; zero: there is none.
    #[n(0)]
    pub version: u64,
    /// As the operator sent it.
    #[cbor(n(1), with = "minicbor::bytes")]
    pub body: Vec<u8>,
    /// Fingerprints of the configurations taken, by version.
    #[n(2)]
    pub taken: BTreeMap<u64, u64>,
    /// What led to it from the version that it builds on, encoded; empty: that isn't known.
    #[cbor(n(3), with = "minicbor::bytes", default)]
    pub change: Vec<u8>,
}

impl ConfigurationState {
    pub(crate) fn take(&mut self, version: u64, body: &[u8], change: &[u8], fingerprint: u64) {
        self.version = version;
        self.body = body.to_vec();
        self.change = change.to_vec();
        self.taken.insert(version, fingerprint);
        while self.taken.len() > REMEMBERED_CONFIGURATIONS {
            self.taken.pop_first();
        }
    }
}

/// Who holds a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RoleState {
    /// The holder.
    #[n(0)]
    pub holder: ReplicaId,
    /// Rises with each holder.
    #[n(1)]
    pub token: FencingToken,
}

/// What is kept of one life of a worker.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct WorkerRecord {
    /// Ends up to this number have been noted.
    #[n(0)]
    pub last_seen: u64,
    /// Runs that may be going on there.
    #[n(1)]
    pub runs: BTreeMap<TaskId, RunId>,
    /// This life is over.
    #[n(2)]
    pub ended: bool,
}

/// The whole replicated state.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct State {
    /// The last entry applied.
    #[n(0)]
    pub position: LogPosition,
    /// The configuration.
    #[n(1)]
    pub configuration: ConfigurationState,
    /// Roles that were ever held.
    #[n(2)]
    pub roles: BTreeMap<Role, RoleState>,
    /// The jobs; a frozen state shares those that have not changed since.
    #[n(3)]
    pub jobs: BTreeMap<JobId, Shared<Job>>,
    /// The workers that ever ran something, until their lives are over.
    #[n(4)]
    pub workers: BTreeMap<String, WorkerRecord>,
    /// How many jobs of each queue have not ended.
    #[n(5)]
    pub open_jobs: BTreeMap<String, u64>,
}

impl State {
    /// A role's current token; zero for one that was never held.
    pub fn token(&self, role: &Role) -> FencingToken {
        self.roles
            .get(role)
            .map_or(FencingToken::default(), |state| state.token)
    }

    /// A job that is to be changed.
    pub(crate) fn job_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.jobs.get_mut(id).map(Shared::make_mut)
    }
}
