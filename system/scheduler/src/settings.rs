//! What a scheduler is told at its start.
use magpiegap_protocol::Millis;

/// Figures of the deployment that a scheduler needs.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Longest time that a worker may hold its runs without being asked again.
    pub max_hold_ms: Millis,
    /// Longest time that members of a gang wait for each other.
    pub gang_ms: Millis,
    /// How many times as long a task takes away from its data or its gang.
    pub far_factor: f64,
    /// How long the state of an ended job is kept.
    pub status_ms: u64,
    /// How long a holder of the role before may have gone on giving orders after it lost the role.
    pub lease_ms: Millis,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        SchedulerSettings {
            max_hold_ms: 6000,
            gang_ms: 3000,
            far_factor: 2.0,
            status_ms: 120_000,
            lease_ms: 1500,
        }
    }
}
