//! Settings of a coordinator.
use magpiegap_control::ControlSettings;
use magpiegap_protocol::Millis;
use magpiegap_scheduler::SchedulerSettings;

/// Settings of a coordinator, its replica and its schedulers.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorSettings {
    /// For its replica.
    pub control: ControlSettings,
    /// For its schedulers.
    pub scheduler: SchedulerSettings,
    /// Duration of a lease: a role is acted on for this long after a proposal of this coordinator that was committed.
    pub lease_ms: Millis,
    /// Interval between two readings of the platform's list.
    pub list_interval_ms: Millis,
}
