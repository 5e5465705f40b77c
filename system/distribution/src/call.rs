//! Calls from an agent to coordinators, and their state.
use magpiegap_protocol::{CoordinatorRequest, Millis};

/// Identifies a call. At most one call with each identifier is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallId {
    /// The long poll of a link, by the link's number.
    Poll(usize),
    /// The configuration fetch.
    Fetch,
}

/// A call to be made. Its outcome must be reported in every case.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Identifier under which the outcome is reported.
    pub id: CallId,
    /// IPv4 address of the coordinator, as an integer.
    pub coordinator: u32,
    /// The request.
    pub request: CoordinatorRequest,
    /// Timeout for the first byte of the response, in milliseconds.
    pub first_byte_timeout_ms: Millis,
    /// Timeout between bytes of the response, in milliseconds. The total duration is not limited.
    pub idle_timeout_ms: Millis,
}

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection was established.
    NotConnected,
    /// No response arrived in time, or it could not be decoded.
    NoResponse,
}

/// State of a call.
pub(crate) enum CallState {
    /// No call is in flight; the next one is due at `until`.
    Idle { until: Millis },
    /// A call to this coordinator is in flight.
    InFlight { coordinator: u32 },
}

impl CallState {
    /// Whether the next call is due.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        matches!(self, CallState::Idle { until } if now >= *until)
    }

    /// When the next call is due; `None` while one is in flight.
    pub(crate) fn due_at(&self) -> Option<Millis> {
        match self {
            CallState::Idle { until } => Some(*until),
            CallState::InFlight { .. } => None,
        }
    }

    /// The coordinator of the call in flight.
    pub(crate) fn coordinator(&self) -> Option<u32> {
        match self {
            CallState::Idle { .. } => None,
            CallState::InFlight { coordinator } => Some(*coordinator),
        }
    }
}
