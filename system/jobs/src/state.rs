//! The replicated state: what it consists of. How entries change it is in the `apply` modules.
use crate::{Job, Shared};
use magpiegap_protocol::{FencingToken, JobId, LogPosition, ReplicaId, Role, RunId, TaskId};
use minicbor::{Decode, Encode};
use std::collections::BTreeMap;

/// How many configurations are remembered, so that one which is sent again is recognized.
const MAX_FINGERPRINTS: usize = 4096;

/// The current configuration, and fingerprints of the latest ones.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationState {
    /// Version of the current configuration; zero: there is none.
    #[n(0)]
    pub version: u64,
    /// The body as the operator sent it.
    #[cbor(n(1), with = "minicbor::bytes")]
    pub body: Vec<u8>,
    /// Fingerprints of the accepted configurations, by version.
    #[n(2)]
    pub fingerprints: BTreeMap<u64, u64>,
    /// The encoded difference to the version that it builds on; empty: it isn't known.
    #[cbor(n(3), with = "minicbor::bytes", default)]
    pub change: Vec<u8>,
}

impl ConfigurationState {
    /// Makes another configuration the current one.
    pub(crate) fn replace(&mut self, version: u64, body: &[u8], change: &[u8], fingerprint: u64) {
        self.version = version;
        self.body = body.to_vec();
        self.change = change.to_vec();
        self.fingerprints.insert(version, fingerprint);
        while self.fingerprints.len() > MAX_FINGERPRINTS {
            self.fingerprints.pop_first();
        }
    }
}

/// Who holds a singleton role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RoleState {
    /// The coordinator that holds it.
    #[n(0)]
    pub holder: ReplicaId,
    /// Fencing token of this holder: higher than those of all before.
    #[n(1)]
    pub token: FencingToken,
}

/// What is recorded of one incarnation of a worker.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct WorkerRecord {
    /// The highest completion that was recorded, by the worker's numbers.
    #[n(0)]
    pub acknowledged_completion: u64,
    /// The latest run of each task that may be going on there.
    #[n(1)]
    pub runs: BTreeMap<TaskId, RunId>,
    /// Whether the incarnation has ended.
    #[n(2)]
    pub ended: bool,
}

/// The complete replicated state.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct State {
    /// Position of the last entry that was applied.
    #[n(0)]
    pub position: LogPosition,
    /// The operator's configuration.
    #[n(1)]
    pub configuration: ConfigurationState,
    /// Singleton roles that were ever held.
    #[n(2)]
    pub roles: BTreeMap<Role, RoleState>,
    /// Jobs by name; a snapshot shares those that have not changed since.
    #[n(3)]
    pub jobs: BTreeMap<JobId, Shared<Job>>,
    /// Workers that ever ran something, by incarnation, until that has ended.
    #[n(4)]
    pub workers: BTreeMap<String, WorkerRecord>,
    /// How many jobs of each queue have not ended; queues without such jobs are left out.
    #[n(5)]
    pub open_jobs: BTreeMap<String, u64>,
}

impl State {
    /// The current fencing token of a role; zero for one that was never held.
    pub fn fencing_token(&self, role: &Role) -> FencingToken {
        self.roles
            .get(role)
            .map_or(FencingToken::default(), |state| state.token)
    }

    /// A job to be changed: it is copied first if a snapshot shares it.
    pub(crate) fn job_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.jobs.get_mut(id).map(Shared::make_mut)
    }
}
