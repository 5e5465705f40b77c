//! The settings of a scheduler.
use magpiegap_protocol::Millis;

/// What a scheduler needs to know of its deployment; times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Longest lease that a worker may be granted. Default: 6000.
    pub max_lease_ms: Millis,
    /// Longest time that members of a gang wait for each other. Default: 3000.
    pub gang_timeout_ms: Millis,
    /// How many times as long a task takes away from its data or its gang. Default: 2.
    pub remote_factor: f64,
    /// How long the status of a completed job is retained. Default: 120000.
    pub status_retention_ms: u64,
    /// How long an earlier owner of the role may have gone on sending orders after it lost the role. Default: 1500.
    pub role_lease_ms: Millis,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        SchedulerSettings {
            max_lease_ms: 6000,
            gang_timeout_ms: 3000,
            remote_factor: 2.0,
            status_retention_ms: 120_000,
            role_lease_ms: 1500,
        }
    }
}
