//! What happens to an instance while it runs.
use super::{EndpointUpdate, Learned, Millis, RequestId, TierUpdate, UpstreamId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Ok,
    /// An error response; it may have run.
    Error,
    /// Rejected (overloaded or draining); never ran, unless
    /// [`Settings::late_shedding`](crate::Settings::late_shedding) is set.
    Rejected,
    /// No response in time; may have run or still run.
    Timeout,
    /// No connection could be made; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Was not sent at all; never ran.
    NotSent,
    /// Something unknown; counts as one that may have run.
    Unknown,
}

impl Ending {
    /// Whether this ending proves that the attempt never ran; for `Rejected` see
    /// [`Settings::late_shedding`](crate::Settings::late_shedding).
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Ending::Rejected | Ending::ConnectFailed | Ending::NotSent
        )
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its tenant is over its limit, and the learned capacity is used up.
    OverLimit,
    /// Less time is left than responses take.
    TooLittleTime,
    /// No upstream can be sent to.
    NoUpstream,
    /// An attempt failed, and no other may or can be made.
    GivenUp,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its identity.
    pub id: RequestId,
    /// Position in [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Position in [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: usize,
    /// When the client gives up.
    pub deadline: Millis,
    /// A hash of what it requests, even over all values and the same at every instance and for every retry of a
    /// client, as far as that can be told: load shedding sheds the lowest first.
    pub tie: u64,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list changed.
    EndpointUpdate(EndpointUpdate),
    /// A request came in: it is owed one final response from now on.
    Request(Request),
    /// The response of a streamed request has begun; its attempt is now the client's.
    Streaming {
        /// The request.
        request: RequestId,
        /// The attempt's number.
        attempt: u32,
    },
    /// An attempt ended. Exactly one for each [`Action::Send`](crate::Action::Send).
    Outcome {
        /// The request.
        request: RequestId,
        /// The attempt's number, counted from zero in the order of sends.
        attempt: u32,
        /// How it ended.
        ending: Ending,
        /// Time since it was sent; finite.
        duration: Millis,
        /// The request has ended, by this outcome or earlier.
        closed: bool,
    },
    /// An upstream reported its load; comes just before the outcome that the report was attached to.
    Load {
        /// The upstream.
        upstream: UpstreamId,
        /// Requests in flight at it, from all balancers together, a little while ago; finite.
        in_flight: f64,
    },
    /// An upstream reported how many requests a second it serves, for all balancers together. Like [`Event::Load`].
    Served {
        /// The upstream.
        upstream: UpstreamId,
        /// Requests a second; finite.
        per_s: f64,
    },
    /// What an earlier instance with these settings had learned; ignored if [`Learned::validate`] refuses it. Applied
    /// from the first endpoint list that names a ready upstream on.
    Restored {
        /// The state.
        learned: Box<Learned>,
        /// Time since it was handed out.
        age: Millis,
    },
    /// What this instance has received of its tier; replaces the update before.
    Tier(Box<TierUpdate>),
    /// The client disconnected, or its time ran out: it is owed no response any more.
    ClientDisconnected(RequestId),
    /// The program shuts down: every request that is open needs its final response by this time.
    EndBy(Millis),
    /// A timer set with [`Action::SetTimer`](crate::Action::SetTimer) has expired.
    Timer(u32),
}
