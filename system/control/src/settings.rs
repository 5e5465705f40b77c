//! What a replica is told at its start.
use magpiegap_protocol::{Millis, Replica};

/// Figures of the deployment that a replica needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlSettings {
    /// Its own name: machine, disk, and this life of the process.
    pub own: Replica,
    /// Addresses of other coordinators, as known at the start.
    pub seeds: Vec<u32>,
    /// How many machines may be lost at once.
    pub tolerance: usize,
    /// Time between two heartbeats.
    pub heartbeat_ms: Millis,
    /// A replica that is not heard for this long is taken for gone.
    pub suspect_ms: Millis,
    /// Seeds random choices.
    pub seed: u64,
}

impl ControlSettings {
    /// On how many disks a write must be before it is committed.
    pub fn copies(&self) -> usize {
        self.tolerance + 1
    }
}
