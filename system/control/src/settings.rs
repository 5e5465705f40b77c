//! What a replica is told at its start.
use crate::tolerance::Tolerance;
use magpiegap_protocol::{Location, Millis, ReplicaId};

/// Figures of the deployment that a replica needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Its own name: machine, disk, and this life of the process.
    pub own: ReplicaId,
    /// Addresses of other coordinators, as known at the start.
    pub seeds: Vec<u32>,
    /// Where its machine stands.
    pub location: Location,
    /// What may be lost at once.
    pub tolerance: Tolerance,
    /// Time between two heartbeats.
    pub heartbeat_ms: Millis,
    /// A replica that is not heard for this long is taken for gone.
    pub suspect_ms: Millis,
    /// Seeds random choices.
    pub seed: u64,
}
