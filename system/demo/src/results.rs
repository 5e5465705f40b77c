//! The results of a scenario run.
use crate::{clients::JobOutcome, usage::Usage, worker_server::WorkerEvent};

/// A fault or restart in the cluster.
#[derive(Clone, Debug)]
pub(crate) struct ClusterEvent {
    /// Time of the event, in milliseconds since the demo started.
    pub at: u64,
    /// Description of the event.
    pub description: String,
}

/// Resource usage of a process while jobs were submitted and polled.
pub(crate) struct ProcessUsage {
    /// Name of the process.
    pub name: String,
    /// Its usage.
    pub usage: Usage,
}

/// The results of a scenario run.
pub(crate) struct Results {
    /// The outcome of each job.
    pub jobs: Vec<JobOutcome>,
    /// The faults and restarts in the cluster.
    pub cluster_events: Vec<ClusterEvent>,
    /// The run events on workers.
    pub worker_events: Vec<WorkerEvent>,
    /// The resource usage of each process.
    pub usage: Vec<ProcessUsage>,
    /// Time from the first submission until all jobs ended, in milliseconds.
    pub wall_ms: u64,
}
