//! Entries of the platform's list of workers.
use crate::Resources;
use minicbor::{Decode, Encode};

/// Availability of a worker for new tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum Availability {
    /// The worker accepts new tasks.
    #[n(0)]
    #[default]
    Ready,
    /// The worker accepts no new tasks and will shut down soon.
    #[n(1)]
    Draining,
}

/// One incarnation of a worker in the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct WorkerEntry {
    /// Name of the incarnation, which changes when the worker restarts.
    #[n(0)]
    pub incarnation: String,
    /// The service whose tasks the worker runs.
    #[n(1)]
    pub service: String,
    /// Endpoint as `IP:PORT`.
    #[n(2)]
    pub address: String,
    /// The worker's zone.
    #[n(3)]
    pub zone: String,
    /// Total resources of the worker.
    #[n(4)]
    pub capacity: Resources,
    /// Labels such as the machine type and the rack.
    #[n(5)]
    pub labels: Vec<String>,
    /// Whether the worker accepts new tasks.
    #[n(6)]
    pub availability: Availability,
    /// Minimum time until shutdown while draining, in milliseconds.
    #[n(7)]
    pub remaining_ms: Option<u64>,
}
