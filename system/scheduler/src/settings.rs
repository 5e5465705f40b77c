//! Settings of a scheduler.
use magpiegap_protocol::Millis;

/// Settings of a scheduler that depend on the deployment. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Maximum duration of a lease granted to a worker. Default: 6000.
    pub max_lease_ms: Millis,
    /// Maximum time for which the members of a gang wait for each other. Default: 3000.
    pub gang_timeout_ms: Millis,
    /// Factor by which a task takes longer away from its data or its gang. Default: 2.
    pub remote_factor: f64,
    /// How long the status of a completed job is retained. Default: 120000.
    pub status_retention_ms: u64,
    /// How long an earlier owner of the role may continue to send orders after it has lost the role. Default: 1500.
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
