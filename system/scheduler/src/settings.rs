//! The settings of a scheduler.
use magpiegap_protocol::Millis;

/// What a scheduler needs to know of its deployment; times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Longest lease that a worker may be granted. Default: 6000.
    pub max_hold_ms: Millis,
    /// Longest time that members of a gang wait for each other. Default: 3000.
    pub gang_ms: Millis,
    /// How many times as long a task takes away from its data or its gang. Default: 2.
    pub far_factor: f64,
    /// How long the status of a completed job is retained. Default: 120000.
    pub status_ms: u64,
    /// How long an earlier owner of the role may have gone on sending orders after it lost the role. Default: 1500.
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
