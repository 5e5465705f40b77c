//! What a snapshot of the figures holds. Owns no state.
use super::Peers;
use crate::log::Lines;
use balancer_snapshots::writer::Written;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Percentiles of some times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Times {
    /// How many.
    pub count: u64,
    /// Half were shorter.
    pub p50_ms: f64,
    /// Nine in ten were.
    pub p90_ms: f64,
    /// Ninety-nine in a hundred were.
    pub p99_ms: f64,
    /// The longest.
    pub most_ms: f64,
}

impl Times {
    pub(super) fn of(histogram: &Histogram<u64>) -> Times {
        let at = |q: f64| histogram.value_at_quantile(q) as f64 / 1000.0;
        Times {
            count: histogram.len(),
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            most_ms: histogram.max() as f64 / 1000.0,
        }
    }
}

/// Everything that is counted, since the program started.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Snapshot {
    /// The balancer's name.
    pub name: String,
    /// When this was taken: Unix time, in milliseconds.
    pub at_ms: f64,
    /// Time since the start, in milliseconds.
    pub up_ms: f64,
    /// How often the balancer has started, where that is kept; and the number that only this start has.
    pub starts: Option<u64>,
    /// See there.
    pub incarnation: Option<u64>,
    /// Requests taken whole.
    pub requests: u64,
    /// Requests without their final answer.
    pub open: u64,
    /// Requests by how they ended; refusals by their reason.
    pub ended: BTreeMap<&'static str, u64>,
    /// Attempts begun.
    pub attempts: u64,
    /// Attempts by how they ended.
    pub attempts_ended: BTreeMap<&'static str, u64>,
    /// Attempts by the zone of their upstream.
    pub zones: BTreeMap<String, u64>,
    /// Attempts to upstreams of another zone.
    pub crossings: u64,
    /// Upstreams listed, and those of them that take work.
    pub listed: u64,
    /// See there.
    pub ready: u64,
    /// Answers of discovery, and calls that failed.
    pub lists: u64,
    /// See there.
    pub list_failures: u64,
    /// From a request taken to its final answer.
    pub to_answer: Times,
    /// From an attempt begun to its end.
    pub to_end: Times,
    /// The log's lines.
    pub log: Lines,
    /// What became of writes of state, where it is kept.
    pub recovery: Option<Written>,
    /// The other copies of the tier, where this one speaks with them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peers: Option<Peers>,
    /// Snapshots that were not written because the one before was still under way.
    pub skipped: u64,
}

/// What holds at the moment of a snapshot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Now {
    /// Unix time, in milliseconds.
    pub at_ms: f64,
    /// Time since the start.
    pub up_ms: f64,
    /// Requests without their final answer.
    pub open: u64,
    /// Upstreams listed.
    pub listed: u64,
    /// Those of them that take work.
    pub ready: u64,
}
