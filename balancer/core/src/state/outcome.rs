//! Outcome of an attempt.
use crate::interface::{Ending, Millis, RequestId};

/// The fields of [`Event::Outcome`](crate::Event::Outcome).
pub(crate) struct AttemptOutcome {
    pub request: RequestId,
    /// The attempt's number.
    pub attempt: u32,
    pub ending: Ending,
    /// Time since it was sent.
    pub duration: Millis,
    /// Whether the request has ended, with this outcome or earlier.
    pub closed: bool,
}
