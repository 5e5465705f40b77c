//! Data types of the replicated state. The `apply` modules implement the changes that log entries make to it.
use crate::{service_jobs::ServiceJobs, Job, Shared};
use magpiegap_protocol::{FencingToken, JobId, LogPosition, ReplicaId, Role, RunId, TaskId};
use minicbor::{Decode, Encode};
use std::collections::BTreeMap;

/// Number of recent configurations whose fingerprints are kept to detect retransmissions.
const MAX_FINGERPRINTS: usize = 4096;

/// The current configuration and the fingerprints of recently accepted ones.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationState {
    /// Version of the current configuration; zero if none has been accepted.
    #[n(0)]
    pub version: u64,
    /// The unmodified JSON body sent by the operator.
    #[cbor(n(1), with = "minicbor::bytes")]
    pub body: Vec<u8>,
    /// Fingerprints of accepted configurations, by version.
    #[n(2)]
    pub fingerprints: BTreeMap<u64, u64>,
    /// The encoded difference from its base version; empty if unknown.
    #[cbor(n(3), with = "minicbor::bytes", default)]
    pub encoded_change: Vec<u8>,
}

impl ConfigurationState {
    /// Replaces the current configuration and evicts the oldest fingerprints.
    pub(crate) fn replace(&mut self, version: u64, body: &[u8], change: &[u8], fingerprint: u64) {
        self.version = version;
        self.body = body.to_vec();
        self.encoded_change = change.to_vec();
        self.fingerprints.insert(version, fingerprint);
        while self.fingerprints.len() > MAX_FINGERPRINTS {
            self.fingerprints.pop_first();
        }
    }
}

/// The current holder of a singleton role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RoleState {
    /// The coordinator that holds the role.
    #[n(0)]
    pub holder: ReplicaId,
    /// The holder's fencing token, higher than that of every previous holder.
    #[n(1)]
    pub token: FencingToken,
}

/// Runs and acknowledged completions of one worker incarnation.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct WorkerRecord {
    /// The highest completion number of this worker that has been recorded.
    #[n(0)]
    pub acknowledged_completion: u64,
    /// The active run of each task assigned to this worker.
    #[n(1)]
    pub runs: BTreeMap<TaskId, RunId>,
    /// Whether the incarnation has ended and can no longer run tasks.
    #[n(2)]
    pub ended: bool,
}

/// The complete replicated state.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct State {
    /// Log position of the last applied entry.
    #[n(0)]
    pub position: LogPosition,
    /// The cluster configuration set by the operator.
    #[n(1)]
    pub configuration: ConfigurationState,
    /// All singleton roles that have ever been claimed.
    #[n(2)]
    pub roles: BTreeMap<Role, RoleState>,
    /// Jobs by ID. Jobs unchanged since a snapshot was taken are shared with it.
    #[n(3)]
    pub jobs: BTreeMap<JobId, Shared<Job>>,
    /// Workers that have been assigned runs or have reported completions, by incarnation. Ended incarnations are
    /// removed.
    #[n(4)]
    pub workers: BTreeMap<String, WorkerRecord>,
    /// Number of unfinished jobs per queue; queues without unfinished jobs are omitted.
    #[n(5)]
    pub open_jobs: BTreeMap<String, u64>,
    /// Number of jobs per service, including ended jobs that are still retained. Derived from `jobs` and not stored.
    #[cbor(skip)]
    pub service_jobs: ServiceJobs,
}

impl State {
    /// Returns the current fencing token of a role, or zero if the role has never been claimed.
    pub fn fencing_token(&self, role: &Role) -> FencingToken {
        self.roles
            .get(role)
            .map_or(FencingToken::default(), |state| state.token)
    }

    /// Returns a mutable reference to a job, cloning the job first if a snapshot shares it.
    pub(crate) fn job_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.jobs.get_mut(id).map(Shared::make_mut)
    }
}
