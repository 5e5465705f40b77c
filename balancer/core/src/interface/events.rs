//! Events that the host passes to an instance.
use super::{EndpointUpdate, Learned, Millis, RequestId, TierUpdate, UpstreamId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A successful response.
    Ok,
    /// An error response; the request may have run.
    Error,
    /// Rejected by the upstream (overloaded or draining); never ran, unless
    /// [`Settings::late_shedding`](crate::Settings::late_shedding) is set.
    Rejected,
    /// No response within the timeout; may have run or still be running.
    Timeout,
    /// No connection could be established; never ran.
    ConnectFailed,
    /// The connection was reset; may have run.
    Reset,
    /// Cancelled by the host; may have run.
    Cancelled,
    /// Never sent; never ran.
    NotSent,
    /// Unknown outcome; treated as one that may have run.
    Unknown,
}

impl Ending {
    /// Whether this ending proves that the attempt never ran. For `Rejected`, see also
    /// [`Settings::late_shedding`](crate::Settings::late_shedding).
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Ending::Rejected | Ending::ConnectFailed | Ending::NotSent
        )
    }
}

/// Reason for which a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The tenant is over its limit and the learned capacity is used up.
    OverLimit,
    /// Less time is left until the deadline than a response takes.
    TooLittleTime,
    /// No upstream is available.
    NoUpstream,
    /// An attempt failed, and no retry is allowed or possible.
    GivenUp,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifier of the request.
    pub id: RequestId,
    /// Index into [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Index into [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: usize,
    /// When the client stops waiting.
    pub deadline: Millis,
    /// Uniformly distributed hash of the request, as far as possible the same at every instance and for every retry
    /// by the client. Load shedding rejects the lowest values first.
    pub tie: u64,
}

/// An event in the life of an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed.
    EndpointUpdate(EndpointUpdate),
    /// A request arrived. It gets exactly one final response.
    Request(Request),
    /// The response to a streaming request has started; the client now follows this attempt directly.
    Streaming {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// An attempt ended. Reported exactly once for each [`Action::Send`](crate::Action::Send).
    Outcome {
        /// The request.
        request: RequestId,
        /// The attempt's number, counted from zero in send order.
        attempt: u32,
        /// How it ended.
        ending: Ending,
        /// Time since it was sent; finite.
        duration: Millis,
        /// Whether the request has ended, with this outcome or earlier.
        closed: bool,
    },
    /// An upstream reported its load. Delivered just before the outcome of the response that carried the report.
    Load {
        /// The upstream.
        upstream: UpstreamId,
        /// Requests in flight at the upstream from all balancers, shortly before the report arrived; finite.
        in_flight: f64,
    },
    /// An upstream reported its request rate over all balancers. Delivered like [`Event::Load`].
    Served {
        /// The upstream.
        upstream: UpstreamId,
        /// Requests per second; finite.
        per_s: f64,
    },
    /// State learned by an earlier instance with these settings; ignored if [`Learned::validate`] rejects it. Applied
    /// once an endpoint list contains a ready upstream.
    Restored {
        /// The state.
        learned: Box<Learned>,
        /// Time since the state was saved.
        age: Millis,
    },
    /// State of the tier as received by this instance; replaces the previous update.
    Tier(Box<TierUpdate>),
    /// The client disconnected or its deadline passed; it no longer needs a response.
    ClientDisconnected(RequestId),
    /// The process is shutting down: every open request must get its final response by this time.
    EndBy(Millis),
    /// A timer set with [`Action::SetTimer`](crate::Action::SetTimer) has expired.
    Timer(u32),
}
