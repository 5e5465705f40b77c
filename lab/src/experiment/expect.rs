//! What the metrics of a run must be.
use super::fault::Part;
use super::units::Span;
use serde::Deserialize;

/// A metric that an `expect` entry can bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Requests with a response within the latency target, over all that were due.
    InTime,
    /// Value earned over value requested.
    #[serde(rename = "worth")]
    Value,
    /// Requests that ended refused.
    Refused,
    /// Requests that ended failed, or without a response.
    Failed,
    /// The 50th percentile of the time to the answer, in milliseconds.
    P50Ms,
    /// The 99th.
    P99Ms,
    /// Requests served in their deadline, by when the answer came, over what the weakest tier can do when warm.
    Goodput,
    /// Attempts at upstreams for each first attempt, over all tiers.
    Attempts,
    /// Jain's index of the time that tenants' attempts spend at upstreams, each over its share.
    Jain,
}

/// The bounds of a metric, over the complete run or a part of it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// Which.
    #[serde(rename = "figure")]
    pub metric: Metric,
    /// At least this.
    #[serde(default)]
    pub least: Option<f64>,
    /// At most this.
    #[serde(default)]
    pub most: Option<f64>,
    /// From this point of the run.
    #[serde(default)]
    pub from: Option<Span>,
    /// To this one.
    #[serde(default)]
    pub to: Option<Span>,
    /// Only of these requests.
    #[serde(default)]
    pub of: Part,
    /// The bounds are parts of the same metric over this stretch: `["2s", "8s"]`.
    #[serde(default)]
    pub part_of: Option<Span>,
}
