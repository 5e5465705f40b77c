//! What an instance wants done.
use super::{Millis, Refusal, RequestId, UpstreamId};

/// What the balancer wants done, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The upstream that it goes to.
        upstream: UpstreamId,
        /// Timeout of this attempt; zero: until the client's deadline.
        timeout: Millis,
        /// It must not be written after this time, however late its connection comes up; infinite: no such bound.
        write_by: Millis,
    },
    /// Stop waiting for an attempt; its outcome still comes.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final response: refused, and a retry does no harm.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a retry; zero: no advice.
        retry_after: Millis,
        /// Why, for the operator.
        reason: Refusal,
    },
    /// Final response: failed, and it may have had an effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Close the connections to an upstream that have no call in flight.
    CloseIdle(UpstreamId),
    /// Subscribe to changes of the endpoint list; one [`EndpointUpdate`](crate::EndpointUpdate) event responds.
    Subscribe,
    /// Set a timer for one [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// From now.
        after: Millis,
        /// Returned with the event.
        token: u32,
    },
    /// A line for the operator's log.
    Log(String),
}
