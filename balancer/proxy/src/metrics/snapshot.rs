//! The contents of a metrics snapshot. Field names in the file stand at the codec. Owns no state.
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
    /// Reads the percentiles of a histogram of microseconds.
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
    /// When this was taken: Unix time, in milliseconds.
    pub at_ms: f64,
    /// Time since the start, in milliseconds.
    pub up_ms: f64,
    /// How often the balancer has started, where that is persisted.
    pub starts: Option<u64>,
    /// The incarnation of this start, where that is persisted.
    pub incarnation: Option<u64>,
    /// Complete requests received.
    pub requests: u64,
    /// Requests without their final response.
    pub open: u64,
    /// Requests by how they ended; refusals by their reason.
    #[serde(rename = "ended")]
    pub requests_ended: BTreeMap<&'static str, u64>,
    /// Attempts begun.
    pub attempts: u64,
    /// Attempts by how they ended.
    pub attempts_ended: BTreeMap<&'static str, u64>,
    /// Attempts by the zone of their upstream.
    #[serde(rename = "zones")]
    pub attempts_by_zone: BTreeMap<String, u64>,
    /// Attempts to upstreams of another zone.
    #[serde(rename = "crossings")]
    pub cross_zone_attempts: u64,
    /// Upstreams listed.
    pub listed: u64,
    /// Upstreams that take requests.
    pub ready: u64,
    /// Responses of discovery.
    pub lists: u64,
    /// Calls to discovery that failed.
    pub list_failures: u64,
    /// From the receipt of a request to its final response.
    #[serde(rename = "to_answer")]
    pub response_times: Percentiles,
    /// From the start of an attempt to its end.
    #[serde(rename = "to_end")]
    pub attempt_times: Percentiles,
    /// The log's counters.
    pub log: LogCounters,
    /// The counters of recovery writes, where recovery is on.
    pub recovery: Option<Written>,
    /// The tier's metrics, where this replica speaks with its peers.
    #[serde(rename = "peers", skip_serializing_if = "Option::is_none")]
    pub tier: Option<TierMetrics>,
    /// Snapshots that were not written because the one before was still being written.
    pub skipped: u64,
}

/// Values at the moment of a snapshot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Gauges {
    /// Unix time, in milliseconds.
    pub at_ms: f64,
    /// Time since the start, in milliseconds.
    pub up_ms: f64,
    /// Requests without their final response.
    pub open: u64,
    /// Upstreams listed.
    pub listed: u64,
    /// Upstreams that take requests.
    pub ready: u64,
}
