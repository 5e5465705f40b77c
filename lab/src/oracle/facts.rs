//! What the oracle observes, as plain values.
use super::rules::trials::Bound;
use crate::experiment::{Effect, Group, Millis};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// 200, with the mark of the answer that upstreams put into their bodies, if it had one.
    Served(Option<u64>),
    /// 429 or 503.
    Refused,
    /// Any other answer.
    Failed,
    /// Part of an answer came, and the client could tell that it was not whole.
    Partial,
    /// The connection ended with no answer.
    Ended,
    /// So did a new one, on its first request.
    Turned,
    /// Nothing came, and the client waits no longer.
    TimedOut,
    /// The client left by itself.
    Left,
}

/// How an attempt ended at the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered 200, with this mark in the body.
    Served(u64),
    /// Answered with an error.
    Error,
    /// Turned away: it has not run.
    Declined,
    /// The balancer closed the connection, or it broke.
    Closed,
}

/// What a class allows.
#[derive(Clone, Copy, Debug)]
pub struct ClassRules {
    /// What a repeat may do.
    pub effect: Effect,
    /// Who drops repeats.
    pub group: Group,
    /// For how long.
    pub window: Millis,
}

/// Where an upstream stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Its zone.
    pub zone: usize,
    /// Its cell.
    pub cell: u16,
    /// Its tier.
    pub tier: usize,
}

/// What was seen of one balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Requests written to it whole.
    pub taken: u64,
    /// Of these, answered 200.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Answered as failed.
    pub failed: u64,
    /// Ended in a way that the balancer may see otherwise: the client left, the connection broke, nothing came.
    pub unclear: u64,
    /// Attempts that reached an upstream.
    pub attempts: u64,
}

/// What an oracle is built from.
pub struct Parts {
    /// Rules of each class.
    pub classes: Vec<ClassRules>,
    /// Place of each upstream.
    pub places: Vec<Place>,
    /// Names of the balancers.
    pub balancers: Vec<String>,
    /// Names of the upstreams.
    pub upstreams: Vec<String>,
    /// Most attempts for a request.
    pub attempts_most: usize,
    /// Time until sends to a draining upstream must end.
    pub drain_grace: Millis,
    /// Tier and place in its list of each balancer.
    pub members: Vec<(usize, usize)>,
    /// Metrics of the rules that have none of their own.
    pub limits: Limits,
}

/// The group of an upstream, as a number.
pub(super) fn group(of: Group, place: Place) -> u64 {
    match of {
        Group::All => 0,
        Group::Zone => place.zone as u64,
        Group::Cell => u64::from(place.cell),
    }
}

impl Seen {
    /// One of its requests ended so.
    pub(super) fn ended(&mut self, how: Final) {
        match how {
            Final::Served(_) => self.served += 1,
            Final::Refused => self.refused += 1,
            Final::Failed => self.failed += 1,
            Final::Partial | Final::Ended | Final::Turned | Final::TimedOut | Final::Left => {
                self.unclear += 1
            }
        }
    }
}

/// Metrics of rules that depend on the experiment.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// How long an announcement of a member's versions may be in transit.
    pub version_grace: Millis,
    /// All speak one version after this.
    pub agree: Option<Millis>,
    /// Further attempts, as a part of first ones.
    pub retries: Option<f64>,
    /// Bounds of trials.
    pub trials: Vec<Bound>,
}
