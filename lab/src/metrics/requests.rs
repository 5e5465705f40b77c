//! Metrics over requests.
use crate::clock::histogram;
use crate::draw::Plan;
use crate::experiment::Experiment;
use crate::tally::{CompletedRequest, RequestOutcome};
use serde::{Deserialize, Serialize};

/// Metrics over the requests that were due in an interval of a run. Fractions refer to all requests due in it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestMetrics {
    /// Number of requests due.
    pub due: usize,
    /// Fraction served within the latency target.
    pub in_time: f64,
    /// Fraction served after the latency target.
    pub late: f64,
    /// Fraction refused.
    pub refused: f64,
    /// Fraction that failed, received no response, or was not accepted by any balancer.
    pub failed: f64,
    /// Fraction abandoned early by clients.
    pub left: f64,
    /// Value earned divided by value requested.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Median response time of served requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the response time of served requests, in milliseconds.
    pub p99_ms: f64,
    /// Mean number of client attempts per request.
    #[serde(rename = "tries")]
    pub client_attempts: f64,
    /// Median latency that balancers added to served requests, in milliseconds.
    pub added_p50_ms: f64,
    /// 99th percentile of the latency that balancers added to served requests, in milliseconds.
    pub added_p99_ms: f64,
}

/// Computes metrics over all requests that satisfy `wanted`.
pub fn request_metrics(
    experiment: &Experiment,
    plan: &Plan,
    completed: &[CompletedRequest],
    wanted: impl Fn(&CompletedRequest) -> bool,
) -> RequestMetrics {
    let mut metrics = RequestMetrics::default();
    let (mut times, mut added) = (histogram(), histogram());
    let (mut requested_value, mut earned, mut client_attempts) = (0.0, 0.0, 0u64);
    for request in completed.iter().filter(|request| wanted(request)) {
        let class = &experiment.classes[request.class];
        metrics.due += 1;
        requested_value += class.value;
        client_attempts += u64::from(request.client_attempts);
        match request.how {
            RequestOutcome::Served => {
                times.saturating_record((request.took * 1000.0) as u64);
                added.saturating_record((request.added.unwrap_or(0.0).max(0.0) * 1000.0) as u64);
                if request.took <= plan.spans[request.class].0 {
                    metrics.in_time += 1.0;
                    earned += class.value;
                } else {
                    metrics.late += 1.0;
                    // A response after the deadline earns nothing.
                    let in_deadline = request.took <= plan.spans[request.class].1;
                    earned += if in_deadline {
                        class.value * class.late_value
                    } else {
                        0.0
                    };
                }
            }
            RequestOutcome::Refused => metrics.refused += 1.0,
            RequestOutcome::Failed | RequestOutcome::TimedOut | RequestOutcome::Unreached => {
                metrics.failed += 1.0
            }
            RequestOutcome::Left => metrics.left += 1.0,
        }
    }
    if metrics.due == 0 {
        return metrics;
    }
    let all = metrics.due as f64;
    for share in [
        &mut metrics.in_time,
        &mut metrics.late,
        &mut metrics.refused,
        &mut metrics.failed,
        &mut metrics.left,
    ] {
        *share /= all;
    }
    metrics.value = earned / requested_value;
    metrics.client_attempts = client_attempts as f64 / all;
    metrics.p50_ms = times.value_at_quantile(0.5) as f64 / 1000.0;
    metrics.p99_ms = times.value_at_quantile(0.99) as f64 / 1000.0;
    metrics.added_p50_ms = added.value_at_quantile(0.5) as f64 / 1000.0;
    metrics.added_p99_ms = added.value_at_quantile(0.99) as f64 / 1000.0;
    metrics
}
