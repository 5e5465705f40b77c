//! The contents of a metrics snapshot. `serde(rename)` keeps the field names of the file. Owns no state.
use super::tier::TierMetrics;
use crate::log::LogCounters;
use balancer_snapshots::writer::Written;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Percentiles of recorded times, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Percentiles {
    /// Number of times recorded.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 90th percentile.
    pub p90_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The longest time.
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
}

impl Percentiles {
    /// Computes the percentiles of a histogram of microseconds.
    pub(super) fn of(histogram: &Histogram<u64>) -> Percentiles {
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Percentiles {
            count: histogram.len(),
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            max_ms: histogram.max() as f64 / 1000.0,
        }
    }
}

/// All metrics since the program started.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Snapshot {
    /// The balancer's name.
    pub name: String,
    /// Unix time of the snapshot, in milliseconds.
    pub at_ms: f64,
    /// Time since the start, in milliseconds.
    pub up_ms: f64,
    /// Number of starts of the balancer, if it is persisted.
    pub starts: Option<u64>,
    /// The incarnation of this start, if it is persisted.
    pub incarnation: Option<u64>,
    /// Complete requests received.
    pub requests: u64,
    /// Requests without a final response.
    pub open: u64,
    /// Ended requests by outcome; refusals by reason.
    #[serde(rename = "ended")]
    pub requests_ended: BTreeMap<&'static str, u64>,
    /// Attempts started.
    pub attempts: u64,
    /// Ended attempts by outcome.
    pub attempts_ended: BTreeMap<&'static str, u64>,
    /// Attempts by zone of the upstream.
    #[serde(rename = "zones")]
    pub attempts_by_zone: BTreeMap<String, u64>,
    /// Attempts to upstreams in other zones.
    #[serde(rename = "crossings")]
    pub cross_zone_attempts: u64,
    /// Upstreams listed.
    pub listed: u64,
    /// Upstreams that accept requests.
    pub ready: u64,
    /// Responses from discovery.
    pub lists: u64,
    /// Failed calls to discovery.
    pub list_failures: u64,
    /// Time from the receipt of a request to its final response.
    #[serde(rename = "to_answer")]
    pub response_times: Percentiles,
    /// Time from the start of an attempt to its end.
    #[serde(rename = "to_end")]
    pub attempt_times: Percentiles,
    /// The log's counters.
    pub log: LogCounters,
    /// The counters of recovery writes, if recovery is on.
    pub recovery: Option<Written>,
    /// The tier's metrics, if this replica communicates with its peers.
    #[serde(rename = "peers", skip_serializing_if = "Option::is_none")]
    pub tier: Option<TierMetrics>,
    /// Snapshots that were not written because an earlier one was still queued.
    pub skipped: u64,
}

/// Values at the time of a snapshot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Gauges {
    /// Unix time, in milliseconds.
    pub at_ms: f64,
    /// Time since the start, in milliseconds.
    pub up_ms: f64,
    /// Requests without a final response.
    pub open: u64,
    /// Upstreams listed.
    pub listed: u64,
    /// Upstreams that accept requests.
    pub ready: u64,
}
