//! Metrics over requests.
use crate::clock::histogram;
use crate::draw::Plan;
use crate::experiment::Experiment;
use crate::tally::{Done, How};
use serde::{Deserialize, Serialize};

/// Metrics over requests that were due in some stretch of a run. Shares are of all that were due in it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RequestMetrics {
    /// Requests due.
    pub due: usize,
    /// Served within the aim.
    pub in_time: f64,
    /// Served after it.
    pub late: f64,
    /// Refused.
    pub refused: f64,
    /// Answered as failed, not answered, or not taken by any balancer.
    pub failed: f64,
    /// Given up by clients that left early.
    pub left: f64,
    /// Value earned over value requested.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Times to the answer of what was served, in milliseconds.
    pub p50_ms: f64,
    /// See there.
    pub p99_ms: f64,
    /// Attempts of the client for each request, in the mean.
    #[serde(rename = "tries")]
    pub client_attempts: f64,
    /// Time that balancers added to what upstreams took, for what was served, in milliseconds.
    pub added_p50_ms: f64,
    /// See there.
    pub added_p99_ms: f64,
}

/// Metrics over all requests that `wanted` picks.
pub fn request_metrics(
    e: &Experiment,
    plan: &Plan,
    done: &[Done],
    wanted: impl Fn(&Done) -> bool,
) -> RequestMetrics {
    let mut f = RequestMetrics::default();
    let (mut times, mut added) = (histogram(), histogram());
    let (mut requested_value, mut earned, mut client_attempts) = (0.0, 0.0, 0u64);
    for d in done.iter().filter(|d| wanted(d)) {
        let class = &e.classes[d.class];
        f.due += 1;
        requested_value += class.value;
        client_attempts += u64::from(d.client_attempts);
        match d.how {
            How::Served => {
                times.saturating_record((d.took * 1000.0) as u64);
                added.saturating_record((d.added.unwrap_or(0.0).max(0.0) * 1000.0) as u64);
                if d.took <= plan.spans[d.class].0 {
                    f.in_time += 1.0;
                    earned += class.value;
                } else {
                    f.late += 1.0;
                    // After its deadline it earns nothing.
                    let in_deadline = d.took <= plan.spans[d.class].1;
                    earned += if in_deadline {
                        class.value * class.late_value
                    } else {
                        0.0
                    };
                }
            }
            How::Refused => f.refused += 1.0,
            How::Failed | How::TimedOut | How::Unreached => f.failed += 1.0,
            How::Left => f.left += 1.0,
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
