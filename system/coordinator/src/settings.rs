//! What a coordinator is told at its start.
use magpiegap_control::ControlSettings;
use magpiegap_protocol::Millis;
use magpiegap_scheduler::SchedulerSettings;

/// Figures of the deployment that a coordinator needs.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinatorSettings {
    /// For its replica.
    pub control: ControlSettings,
    /// For its schedulers.
    pub scheduler: SchedulerSettings,
    /// A role is acted on for this long after an own entry was proposed that has been committed.
    pub lease_ms: Millis,
    /// Time between two readings of the platform's list.
    pub list_every_ms: Millis,
}
