//! What discovery knows of an upstream, and how an agent may misbehave.
use crate::experiment::Millis;
use serde::Serialize;

/// The state of an upstream in discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Takes requests.
    Active,
    /// Finishes the requests that it has, and takes no more.
    #[serde(rename = "leaving")]
    Draining,
    /// Listed no more; the name is in updates only.
    #[serde(rename = "left")]
    Removed,
}

/// A start of an upstream's process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Start {
    /// How often the process has started, this start included.
    pub number: usize,
    /// When; none for a start from before the run.
    pub at: Option<Millis>,
}

impl Start {
    /// The first start, from before the run.
    pub(super) const BEFORE_RUN: Start = Start {
        number: 1,
        at: None,
    };
}

/// What discovery knows of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Position of the upstream in the plan.
    pub upstream: usize,
    /// Its id in discovery; a replacement has a new one.
    pub id: String,
    /// Its state.
    pub state: State,
    /// Its latest start.
    pub start: Start,
}

/// How an agent behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Responds as the protocol has it.
    Normal,
    /// Never responds.
    Unresponsive,
    /// Responds with text that is no list.
    Malformed,
    /// Responds with the list as it was at the start, under its version of then.
    Stale,
}
