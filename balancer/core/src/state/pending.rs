//! Requests without a final response.
use crate::interface::Millis;

/// An attempt without an outcome.
#[derive(Clone, Copy)]
pub(crate) struct InFlightAttempt {
    /// Number of the attempt, from zero in send order.
    pub number: u32,
    /// Slot of its upstream.
    pub slot: usize,
    pub sent_at: Millis,
    /// Idle-time step of its connection; see [`IDLE_STEPS`](super::IDLE_STEPS).
    pub idle_step: usize,
}

/// An attempt that may have run.
#[derive(Clone, Copy)]
pub(crate) struct PossibleRun {
    /// Number of the attempt.
    pub attempt: u32,
    pub sent_at: Millis,
    pub zone: u16,
    pub group: u16,
}

/// A request without a final response.
pub(crate) struct Pending {
    /// Index in the settings.
    pub class: usize,
    /// Index in [`Admission::tenants`](super::Admission::tenants).
    pub tenant: usize,
    /// When a response loses its value; no attempt runs longer.
    pub deadline: Millis,
    /// Number of attempts made.
    pub attempts: u32,
    pub in_flight: Option<InFlightAttempt>,
    /// The first attempt that may have run.
    pub first_run: Option<PossibleRun>,
    /// Slot of the last attempt.
    pub last_slot: Option<usize>,
    /// Whether the client has disconnected and needs no response.
    pub abandoned: bool,
}
