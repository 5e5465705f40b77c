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
    e: &Experiment,
    plan: &Plan,
    completed: &[CompletedRequest],
    wanted: impl Fn(&CompletedRequest) -> bool,
) -> RequestMetrics {
    let mut f = RequestMetrics::default();
    let (mut times, mut added) = (histogram(), histogram());
    let (mut requested_value, mut earned, mut client_attempts) = (0.0, 0.0, 0u64);
    for d in completed.iter().filter(|d| wanted(d)) {
        let class = &e.classes[d.class];
        f.due += 1;
        requested_value += class.value;
        client_attempts += u64::from(d.client_attempts);
        match d.how {
            RequestOutcome::Served => {
                times.saturating_record((d.took * 1000.0) as u64);
                added.saturating_record((d.added.unwrap_or(0.0).max(0.0) * 1000.0) as u64);
                if d.took <= plan.spans[d.class].0 {
                    f.in_time += 1.0;
                    earned += class.value;
                } else {
                    f.late += 1.0;
                    // A response after the deadline earns nothing.
                    let in_deadline = d.took <= plan.spans[d.class].1;
                    earned += if in_deadline {
                        class.value * class.late_value
                    } else {
                        0.0
                    };
                }
            }
            RequestOutcome::Refused => f.refused += 1.0,
            RequestOutcome::Failed | RequestOutcome::TimedOut | RequestOutcome::Unreached => {
                f.failed += 1.0
            }
            RequestOutcome::Left => f.left += 1.0,
        }
    }
    if f.due == 0 {
        return f;
    }
    let all = f.due as f64;
    for share in [
        &mut f.in_time,
        &mut f.late,
        &mut f.refused,
        &mut f.failed,
        &mut f.left,
    ] {
        *share /= all;
    }
    f.value = earned / requested_value;
    f.client_attempts = client_attempts as f64 / all;
    f.p50_ms = times.value_at_quantile(0.5) as f64 / 1000.0;
    f.p99_ms = times.value_at_quantile(0.99) as f64 / 1000.0;
    f.added_p50_ms = added.value_at_quantile(0.5) as f64 / 1000.0;
    f.added_p99_ms = added.value_at_quantile(0.99) as f64 / 1000.0;
    f
}
