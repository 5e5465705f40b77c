//! What is known of a request that has no final response yet.
use crate::interface::Millis;

/// An attempt without an outcome.
#[derive(Clone, Copy)]
pub(crate) struct InFlightAttempt {
    /// Counted from zero in the order of sends.
    pub number: u32,
    /// Slot of its upstream.
    pub slot: usize,
    pub sent_at: Millis,
    /// How long its connection may have been idle, in steps; see [`IDLE_STEPS`](super::IDLE_STEPS).
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

/// A request that has no final response yet.
pub(crate) struct Pending {
    /// Position in the settings.
    pub class: usize,
    /// Position in the admission's table.
    pub tenant: usize,
    /// When a response stops being worth anything: no attempt runs longer.
    pub deadline: Millis,
    /// Attempts that were begun.
    pub attempts: u32,
    pub in_flight: Option<InFlightAttempt>,
    /// The first attempt that may have run.
    pub first_run: Option<PossibleRun>,
    /// Slot of the last attempt.
    pub last_slot: Option<usize>,
    /// The client is no longer there: nothing is owed to it.
    pub abandoned: bool,
}
