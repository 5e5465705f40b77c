//! The results of a run of the scenario, as they are reported.
use crate::{clients::JobOutcome, usage::Usage, worker_server::WorkerEvent};

/// Something that was done to the cluster.
#[derive(Clone, Debug)]
pub(crate) struct ClusterEvent {
    /// When, in milliseconds since the demo began.
    pub at: u64,
    /// What.
    pub what: String,
}

/// What a process has used while jobs were submitted and followed.
pub(crate) struct ProcessUsage {
    /// The process.
    pub name: String,
    /// Its usage.
    pub usage: Usage,
}

/// All that is reported of a run of the scenario.
pub(crate) struct Results {
    /// The jobs.
    pub jobs: Vec<JobOutcome>,
    /// What was done to the cluster.
    pub cluster_events: Vec<ClusterEvent>,
    /// The runs on workers.
    pub worker_events: Vec<WorkerEvent>,
    /// The processes.
    pub usage: Vec<ProcessUsage>,
    /// How long the jobs took together, in milliseconds.
    pub wall_ms: u64,
}
