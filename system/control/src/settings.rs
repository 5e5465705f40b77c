//! Settings of a replica, which describe its deployment.
use crate::tolerance::Tolerance;
use magpiegap_protocol::{Location, Millis, ReplicaId};

/// The settings of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// The replica's identity: machine, disk, and incarnation of the process.
    pub own: ReplicaId,
    /// Addresses of other coordinators that are known at the start.
    pub seeds: Vec<u32>,
    /// The zone and region of the replica's machine.
    pub location: Location,
    /// The losses that must be tolerated.
    pub tolerance: Tolerance,
    /// The minimum time between heartbeats to the same replica, in milliseconds.
    pub heartbeat_interval_ms: Millis,
    /// The time without a heartbeat after which a replica is suspected to have failed, in milliseconds.
    pub suspicion_timeout_ms: Millis,
    /// The seed of the random delays between rounds.
    pub random_seed: u64,
}
