//! How a fleet came back from the first fault that stops balancers.
use super::requests::request_metrics;
use crate::draw::Plan;
use crate::experiment::{Experiment, FaultKind, Millis};
use crate::tally::Tally;
use serde::{Deserialize, Serialize};

/// How a fleet came back from the first fault that stops balancers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Recovery {
    /// From a process's being begun to its first answer that was served: the median, and the longest, over all that
    /// were begun again, in milliseconds. Those that never served count as infinite, which is written as nothing.
    pub served_ms: Option<f64>,
    /// See there.
    pub served_most_ms: Option<f64>,
    /// Worth before the fault, and over the time after it began that is looked at, as a part of what was asked for.
    #[serde(rename = "worth_before")]
    pub value_before: f64,
    /// See there.
    #[serde(rename = "worth_after")]
    pub value_after: f64,
    /// From the first of them being begun again to the first half second whose worth is 95 of 100 of that before the
    /// fault, in milliseconds; nothing if there is none.
    pub back_ms: Option<f64>,
}

/// Worth is looked at for so long after a fault that stops balancers.
const AFTER: Millis = 15_000.0;

/// Worth is taken over windows of this length, which begin this far apart, and is back at this part of what it was.
const WINDOW: Millis = 500.0;

const STEP: Millis = 50.0;

const BACK: f64 = 0.95;

/// How the fleet came back, if anything stopped balancers.
pub fn recovery(e: &Experiment, plan: &Plan, tally: &Tally) -> Option<Recovery> {
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
    // A process that was begun too late to be met by anybody says nothing.
    let again = tally
        .starts
        .iter()
        .filter(|s| s.at >= fault.at && s.at < plan.length - WINDOW);
    let mut took: Vec<f64> = again
        .clone()
        .map(|s| s.served.map_or(f64::INFINITY, |t| t - s.at))
        .collect();
    took.sort_by(f64::total_cmp);
    let finite = |t: Option<&f64>| t.copied().filter(|t| t.is_finite());
    let first = again.map(|s| s.at).fold(f64::INFINITY, f64::min);
    let value = |from: Millis, to: Millis| {
        request_metrics(e, plan, &tally.done, |d| (from..to).contains(&d.at)).value
    };
    let before = value(0.0, fault.at);
    let mut windows = (0..)
        .map(|n| first + STEP * f64::from(n))
        .take_while(|t| t + WINDOW <= plan.length);
    let back = windows.find(|&t| value(t, t + WINDOW) >= BACK * before);
    Some(Recovery {
        served_ms: finite(took.get(took.len() / 2)),
        served_most_ms: finite(took.last()),
        value_before: before,
        value_after: value(fault.at, fault.at + AFTER),
        back_ms: back.map(|t| t - first),
    })
}
