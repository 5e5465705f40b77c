//! What an instance is told while it runs.
use super::{EndpointUpdate, Learned, Millis, RequestId, TierUpdate, UpstreamId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Served.
    Ok,
    /// An error answer; it may have run.
    Error,
    /// Turned away (full or draining); never ran, unless
    /// [`Settings::late_shedding`](crate::Settings::late_shedding) is set.
    Full,
    /// No answer in time; may have run or still run.
    Timeout,
    /// No connection could be made; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Was not sent at all; never ran.
    Moot,
    /// Something unknown; counts as one that may have run.
    Unknown,
}

impl Ending {
    /// Whether this ending proves that the attempt never ran; for `Full` see
    /// [`Settings::late_shedding`](crate::Settings::late_shedding).
    pub fn never_ran(self) -> bool {
        matches!(self, Ending::Full | Ending::ConnectFailed | Ending::Moot)
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its tenant is over its limit, and what is learned to be there is used up.
    OverLimit,
    /// Less time is left than answers take.
    TooLittleTime,
    /// No upstream can be sent to.
    NoUpstream,
    /// An attempt failed, and no other may or can be made.
    GivenUp,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Position in [`Settings::classes`](crate::Settings::classes).
    pub class: usize,
    /// Position in [`Settings::tenants`](crate::Settings::tenants).
    pub tenant: usize,
    /// When the client gives up.
    pub deadline: Millis,
    /// A hash of what it asks for, even over all values and the same at every copy and for every try of a client, as
    /// far as that can be told: who must refuse a part of what comes refuses the lowest.
    pub tie: u64,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News about the list of upstreams.
    EndpointUpdate(EndpointUpdate),
    /// A request came in: one final answer is now owed.
    Request(Request),
    /// The answer of a streamed request has begun; its attempt is now the client's.
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
    /// What an upstream said of its load; comes just before the outcome that it was attached to.
    Load {
        /// The upstream.
        upstream: UpstreamId,
        /// Requests that it held, from all balancers together, a little while ago; finite.
        held: f64,
    },
    /// How many requests a second an upstream says it serves, for all balancers together; finite. Like
    /// [`Event::Load`].
    Served {
        /// The upstream.
        upstream: UpstreamId,
        /// Requests a second.
        per_s: f64,
    },
    /// What an earlier instance with these settings had learned; see [`Learned::validate`], what fails it is passed
    /// over. Counts from the first list that names a ready upstream on.
    Restored {
        /// The state.
        learned: Box<Learned>,
        /// Time since it was handed out.
        age: Millis,
    },
    /// What this copy has heard of its tier; replaces what it had heard before.
    Tier(Box<TierUpdate>),
    /// The client left, or its time ran out: nothing is owed any more.
    ClientDisconnected(RequestId),
    /// The program is to end: every request that is open needs its final answer by this time.
    EndBy(Millis),
    /// A timer asked for with [`Action::SetTimer`](crate::Action::SetTimer) is due.
    Timer(u32),
}
