//! The stored results of one play of a program.
use super::recovery::Recovery;
use super::requests::RequestMetrics;
use super::traffic::{Datagrams, Tier, Traffic};
use crate::experiment::Millis;
use crate::oracle::{Rule, Violation};
use crate::tally::Tally;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Lateness of the lab's own sends and timers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lateness {
    /// Median lateness, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Maximum, in milliseconds.
    pub most_ms: f64,
    /// Fraction that was later than the experiment allows.
    pub over: f64,
    /// Whether the run is valid, that is, the lab was late rarely enough.
    pub counts: bool,
}

/// Peak resource usage of a balancer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResourceUsage {
    /// Name of the balancer.
    pub name: String,
    /// Memory, in kB.
    pub memory_kb: u64,
    /// Open file descriptors.
    pub descriptors: u64,
    /// CPU time, in seconds.
    pub cpu_s: f64,
}

/// The results of one play of a program.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Played {
    /// The program's name.
    pub program: String,
    /// Its command.
    pub command: String,
    /// Index of the play among those of this program.
    pub play: usize,
    /// The seed.
    pub seed: u64,
    /// Metrics of the complete run.
    #[serde(rename = "figures")]
    pub metrics: RequestMetrics,
    /// Metrics by class, tenant and zone.
    pub by: BTreeMap<String, RequestMetrics>,
    /// Traffic between machines.
    pub traffic: Traffic,
    /// Datagrams between balancers.
    #[serde(default)]
    pub datagrams: Datagrams,
    /// What balancers reported about their tier, if they exchange datagrams.
    #[serde(default)]
    pub tier: Option<Tier>,
    /// Recovery of the fleet, if a fault stopped balancers.
    #[serde(default, rename = "comeback")]
    pub recovery: Option<Recovery>,
    /// Lateness of the lab itself.
    pub lateness: Lateness,
    /// First violations of each rule.
    pub broken: Vec<Case>,
    /// Number of violations of each rule.
    pub counts: BTreeMap<String, u64>,
    /// Number of requests that were checked to their end.
    pub checked: u64,
    /// Number of keyed requests that took effect more than once.
    pub effects_twice: u64,
    /// Expectations that were missed.
    pub missed: Vec<String>,
    /// Peak resource usage of each balancer.
    #[serde(rename = "held")]
    pub usage: Vec<ResourceUsage>,
    /// Whether it was stopped manually before its end.
    pub stopped: bool,
    /// Records of every request and every second.
    pub tally: Tally,
    /// Start, end and kind of each fault.
    pub faults: Vec<(Millis, Millis, String)>,
}

/// A stored violation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Case {
    /// The rule.
    pub rule: String,
    /// What the rule requires.
    pub asks: String,
    /// When it was observed, in milliseconds of the run.
    pub at: Millis,
    /// A one-line description.
    pub case: String,
}

/// Returns the serialized name of a rule or a fault.
pub fn name_of(of: impl Serialize) -> String {
    match serde_json::to_value(of) {
        Ok(serde_json::Value::String(name)) => name,
        other => format!("{other:?}"),
    }
}

impl From<&Violation> for Case {
    fn from(b: &Violation) -> Case {
        let rule: Rule = b.rule;
        Case {
            rule: name_of(rule),
            asks: rule.description().into(),
            at: b.at,
            case: b.case.clone(),
        }
    }
}

impl Played {
    /// Whether no rule was violated, all expectations were met, and the run is complete and valid.
    pub fn passed(&self) -> bool {
        self.counts.is_empty() && self.missed.is_empty() && self.lateness.counts && !self.stopped
    }
}

/// Returns the mean of some values and half their range.
pub fn mean_and_spread(values: &[f64]) -> (f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    (
        mean,
        if values.len() > 1 {
            (most - least) / 2.0
        } else {
            0.0
        },
    )
}
