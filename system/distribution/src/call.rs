//! Calls of an agent to coordinators: what is sent, and whether one is in flight.
use magpiegap_protocol::{CoordinatorRequest, Millis};

/// Identifies a call: at most one of each is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallId {
    /// The long poll of a link.
    Poll(usize),
    /// The fetch of the configuration.
    Fetch,
}

/// A call to be made. The caller reports its outcome in every case.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// What the outcome is reported under.
    pub id: CallId,
    /// IPv4 address of the coordinator, as a number.
    pub coordinator: u32,
    /// The request.
    pub request: CoordinatorRequest,
    /// Timeout for the first byte of the response, in milliseconds.
    pub first_byte_timeout_ms: Millis,
    /// Timeout for each further byte, in milliseconds. The complete response may take any time.
    pub idle_timeout_ms: Millis,
}

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection was established.
    NotConnected,
    /// No response came in time, or none that can be read.
    NoResponse,
}

/// Whether a call is in flight.
pub(crate) enum CallState {
    /// None is; the next one is due at this time.
    Idle { until: Millis },
    /// One to this coordinator is.
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

    /// The coordinator of the call that is in flight.
    pub(crate) fn coordinator(&self) -> Option<u32> {
        match self {
            CallState::Idle { .. } => None,
            CallState::InFlight { coordinator } => Some(*coordinator),
        }
    }
}
