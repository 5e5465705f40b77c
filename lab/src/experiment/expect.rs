//! Expectations on the metrics of a run.
use super::fault::Part;
use super::units::Span;
use serde::Deserialize;

/// A metric that an `expect` entry can bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Metric {
    /// Fraction of due requests with a response within the latency target.
    InTime,
    /// Value earned divided by value requested.
    #[serde(rename = "worth")]
    Value,
    /// Fraction of due requests that were refused.
    Refused,
    /// Fraction of due requests that failed or received no response.
    Failed,
    /// 50th percentile of the response time, in milliseconds.
    P50Ms,
    /// 99th percentile of the response time, in milliseconds.
    P99Ms,
    /// Rate of requests served within their deadline, counted when the response arrives, divided by the capacity of the
    /// weakest tier after slow start.
    Goodput,
    /// Attempts at upstreams per first attempt, over all tiers.
    Attempts,
    /// Jain's fairness index of the time that tenants' attempts spend at upstreams, each divided by the tenant's share.
    Jain,
}

/// Bounds on a metric, over the complete run or part of it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expect {
    /// The metric.
    #[serde(rename = "figure")]
    pub metric: Metric,
    /// Lower bound.
    #[serde(default)]
    pub least: Option<f64>,
    /// Upper bound.
    #[serde(default)]
    pub most: Option<f64>,
    /// Start of the interval, in time of the run.
    #[serde(default)]
    pub from: Option<Span>,
    /// End of the interval.
    #[serde(default)]
    pub to: Option<Span>,
    /// Restricts the metric to these requests.
    #[serde(default)]
    pub of: Part,
    /// Interval of a reference value, `["2s", "8s"]`: the bounds apply to the ratio of the metric to its value there.
    #[serde(default)]
    pub part_of: Option<Span>,
}
