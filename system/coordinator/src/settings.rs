//! Settings of a coordinator.
use magpiegap_control::ControlSettings;
use magpiegap_protocol::Millis;
use magpiegap_scheduler::SchedulerSettings;

/// Settings of a coordinator, its replica and its schedulers.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorSettings {
    /// Settings of the replica.
    pub control: ControlSettings,
    /// Settings of the schedulers.
    pub scheduler: SchedulerSettings,
    /// Lease duration. Roles are exercised for this long after the proposal time of a committed local proposal.
    pub lease_ms: Millis,
    /// Interval between reads of the platform's worker list.
    pub list_interval_ms: Millis,
}
