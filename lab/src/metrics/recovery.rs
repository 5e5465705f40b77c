//! Recovery of a fleet from the first fault that stops balancers.
use super::requests::request_metrics;
use crate::draw::Plan;
use crate::experiment::{Experiment, FaultKind, Millis};
use crate::tally::Tally;
use serde::{Deserialize, Serialize};

/// Recovery of a fleet from the first fault that stops balancers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Recovery {
    /// Median time from the start of a process to its first successful response, over all restarted processes, in
    /// milliseconds. Processes that never served count as infinite, which is stored as none.
    pub served_ms: Option<f64>,
    /// Maximum of the times in `served_ms`.
    pub served_most_ms: Option<f64>,
    /// Fraction of value earned before the fault.
    #[serde(rename = "worth_before")]
    pub value_before: f64,
    /// Fraction of value earned in the 15 s after the start of the fault.
    #[serde(rename = "worth_after")]
    pub value_after: f64,
    /// Time from the first restart of a process to the first half-second window whose fraction of value is at least 95%
    /// of that before the fault, in milliseconds; none if there is no such window.
    pub back_ms: Option<f64>,
}

/// Interval after the start of the fault over which value is measured.
const OBSERVATION_TIME: Millis = 15_000.0;

/// Length of the sliding window in which recovery is detected.
const WINDOW: Millis = 500.0;

/// Distance between the starts of windows.
const STEP: Millis = 50.0;

/// Fraction of the value before the fault at which the fleet counts as recovered.
const RECOVERED: f64 = 0.95;

/// Returns the recovery of the fleet, if a fault stopped balancers.
pub fn recovery(experiment: &Experiment, plan: &Plan, tally: &Tally) -> Option<Recovery> {
    let stops = |kind| {
        matches!(
            kind,
            FaultKind::Kill | FaultKind::PowerLoss | FaultKind::Terminate | FaultKind::Upgrade
        )
    };
    let fault = plan
        .faults
        .iter()
        .find(|f| stops(f.kind) && !f.on.is_empty())?;
    // Processes started too close to the end of the run receive too few requests to count.
    let restarts = tally
        .starts
        .iter()
        .filter(|s| s.at >= fault.at && s.at < plan.length - WINDOW);
    let mut took: Vec<f64> = restarts
        .clone()
        .map(|s| s.served.map_or(f64::INFINITY, |t| t - s.at))
        .collect();
    took.sort_by(f64::total_cmp);
    let finite = |t: Option<&f64>| t.copied().filter(|t| t.is_finite());
    let first = restarts.map(|s| s.at).fold(f64::INFINITY, f64::min);
    let value = |from: Millis, to: Millis| {
        request_metrics(experiment, plan, &tally.completed, |d| {
            (from..to).contains(&d.at)
        })
        .value
    };
    let before = value(0.0, fault.at);
    let mut windows = (0..)
        .map(|n| first + STEP * f64::from(n))
        .take_while(|t| t + WINDOW <= plan.length);
    let back = windows.find(|&t| value(t, t + WINDOW) >= RECOVERED * before);
    Some(Recovery {
        served_ms: finite(took.get(took.len() / 2)),
        served_most_ms: finite(took.last()),
        value_before: before,
        value_after: value(fault.at, fault.at + OBSERVATION_TIME),
        back_ms: back.map(|t| t - first),
    })
}
