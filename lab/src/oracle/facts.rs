//! Observations and configuration of the oracle, as plain values.
use super::rules::trials::Bound;
use crate::experiment::{Effect, Group, Millis};

/// How a client call ended, as the client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// Status 200, with the marker that upstreams put into response bodies, if it was present.
    Served(Option<u64>),
    /// Status 429 or 503.
    Refused,
    /// Any other status.
    Failed,
    /// A truncated response that the client could recognize as such.
    Partial,
    /// The connection was closed without a response.
    Closed,
    /// A new connection was closed without a response to its first request.
    ClosedNew,
    /// No response before the client's timeout.
    TimedOut,
    /// The client abandoned the request.
    Abandoned,
}

/// How an attempt ended at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered with status 200 and this marker in the body.
    Served(u64),
    /// Answered with an error.
    Error,
    /// Rejected without being executed.
    Declined,
    /// The connection was closed by the balancer or broke.
    Closed,
}

/// Constraints of a request class.
#[derive(Clone, Copy, Debug)]
pub struct ClassRules {
    /// Whether a request may be executed more than once.
    pub effect: Effect,
    /// The upstreams that deduplicate among themselves.
    pub group: Group,
    /// How long keys are remembered.
    pub window: Millis,
}

/// The location of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u16,
    /// Its tier.
    pub tier: usize,
}

/// Counts of what was observed of one balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservedCounts {
    /// Requests that were completely written to it.
    pub taken: u64,
    /// Requests answered with status 200.
    pub served: u64,
    /// Requests that it refused.
    pub refused: u64,
    /// Requests answered with any other status.
    pub failed: u64,
    /// Requests whose end the balancer may classify differently: abandoned, connection closed, no response.
    pub unclear: u64,
    /// Attempts that reached an upstream.
    pub attempts: u64,
}

/// Configuration of an oracle.
pub struct OracleConfig {
    /// Rules of each class.
    pub classes: Vec<ClassRules>,
    /// Location of each upstream.
    pub places: Vec<Place>,
    /// Names of the balancers.
    pub balancers: Vec<String>,
    /// Names of the upstreams.
    pub upstreams: Vec<String>,
    /// Maximum number of attempts per request.
    pub max_attempts: usize,
    /// Grace period after which no new request may be sent to a draining upstream.
    pub drain_grace: Millis,
    /// Tier of each balancer and its index in the member list of that tier.
    pub members: Vec<(usize, usize)>,
    /// Limits of the rules that depend on the experiment.
    pub limits: Limits,
}

/// Returns the deduplication group of an upstream.
pub(super) fn group(of: Group, place: Place) -> u64 {
    match of {
        Group::All => 0,
        Group::Zone => place.zone as u64,
        Group::Cell => u64::from(place.cell),
    }
}

impl ObservedCounts {
    /// Counts the end of one of its requests.
    pub(super) fn ended(&mut self, how: Final) {
        match how {
            Final::Served(_) => self.served += 1,
            Final::Refused => self.refused += 1,
            Final::Failed => self.failed += 1,
            Final::Partial
            | Final::Closed
            | Final::ClosedNew
            | Final::TimedOut
            | Final::Abandoned => self.unclear += 1,
        }
    }
}

/// Limits of rules that depend on the experiment.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// How long a member's version announcement may be in transit.
    pub version_grace: Millis,
    /// Time after the last change in which all members must agree on a version.
    pub agree: Option<Millis>,
    /// Maximum ratio of retries to first attempts.
    pub retries: Option<f64>,
    /// Limits on attempts at failing zones.
    pub trials: Vec<Bound>,
}
