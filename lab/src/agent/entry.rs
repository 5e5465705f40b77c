//! The entries of the discovery list, and the modes of an agent.
use crate::experiment::Millis;
use serde::Serialize;

/// The state of an upstream in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Accepts requests.
    Active,
    /// Completes its requests in flight, and accepts no new ones.
    #[serde(rename = "leaving")]
    Draining,
    /// No longer listed; appears in updates only.
    #[serde(rename = "left")]
    Removed,
}

/// A start of an upstream's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Start {
    /// The number of starts so far, including this one.
    pub number: usize,
    /// The time of the start; `None` if it was before the run.
    pub at: Option<Millis>,
}

impl Start {
    /// The first start, before the run.
    pub(super) const BEFORE_RUN: Start = Start {
        number: 1,
        at: None,
    };
}

/// An upstream in discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Position of the upstream in the plan.
    pub upstream: usize,
    /// Its id in discovery; a replacement machine has a new id.
    pub id: String,
    /// Its state.
    pub state: State,
    /// Its latest start.
    pub start: Start,
}

/// How an agent behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Responds as the protocol demands.
    Normal,
    /// Never responds.
    Unresponsive,
    /// Responds with truncated JSON.
    Malformed,
    /// Responds with the list and the version from the start of the run.
    Stale,
}
