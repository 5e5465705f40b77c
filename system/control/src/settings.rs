//! The settings of a replica.
use crate::tolerance::Tolerance;
use magpiegap_protocol::{Location, Millis, ReplicaId};

/// What a replica needs to know of its deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Its own name: machine, disk, and this incarnation of the process.
    pub own: ReplicaId,
    /// Addresses of other coordinators, as known at the start.
    pub seeds: Vec<u32>,
    /// The zone and region of its machine.
    pub location: Location,
    /// What may be lost at once.
    pub tolerance: Tolerance,
    /// Time between two heartbeats.
    pub heartbeat_interval_ms: Millis,
    /// A replica that is not heard for this long is suspected.
    pub suspicion_timeout_ms: Millis,
    /// Seeds random choices.
    pub seed: u64,
}
