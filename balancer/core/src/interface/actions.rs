//! Actions that the balancer requests from its host.
use super::{Millis, Refusal, RequestId, UpstreamId};

/// An action for the host to perform. Actions are performed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The upstream that it goes to.
        upstream: UpstreamId,
        /// Timeout of this attempt; zero means the client's deadline.
        timeout: Millis,
        /// Latest time at which the request may be written to the connection, however long connecting takes;
        /// infinite if unbounded.
        write_by: Millis,
    },
    /// Stop waiting for an attempt; its outcome is still reported.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// Final response: the request is refused, and retrying it is safe.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait before a retry; zero means no advice.
        retry_after: Millis,
        /// Reason, for the operator.
        reason: Refusal,
    },
    /// Final response: the request failed and may have had an effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Close the connections to an upstream that have no call in flight.
    CloseIdle(UpstreamId),
    /// Subscribe to changes of the endpoint list; answered by one [`EndpointUpdate`](crate::EndpointUpdate) event.
    Subscribe,
    /// Set a one-shot timer that triggers [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// Delay from now.
        after: Millis,
        /// Passed back in the event.
        token: u32,
    },
    /// Write a line to the operator's log.
    Log(String),
}
