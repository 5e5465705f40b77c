//! One play of one program, as it is stored.
use super::recovery::Recovery;
use super::requests::RequestMetrics;
use super::traffic::{Datagrams, Tier, Traffic};
use crate::experiment::Millis;
use crate::oracle::{Rule, Violation};
use crate::tally::Tally;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How late the lab itself was.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lateness {
    /// Half of its sends and timers were later than this, in milliseconds.
    pub p50_ms: f64,
    /// One in a hundred was.
    pub p99_ms: f64,
    /// The latest.
    pub most_ms: f64,
    /// The part that was later than the experiment allows.
    pub over: f64,
    /// Whether the run counts.
    pub counts: bool,
}

/// What one balancer used at most.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ResourceUsage {
    /// Its name.
    pub name: String,
    /// Memory, in kilobytes.
    pub memory_kb: u64,
    /// Descriptors.
    pub descriptors: u64,
    /// Seconds on a core.
    pub cpu_s: f64,
}

/// One play of one program.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Played {
    /// The program's name.
    pub program: String,
    /// Its command.
    pub command: String,
    /// Which play of it.
    pub play: usize,
    /// The seed.
    pub seed: u64,
    /// Metrics of the complete run.
    #[serde(rename = "figures")]
    pub metrics: RequestMetrics,
    /// By class, tenant and zone.
    pub by: BTreeMap<String, RequestMetrics>,
    /// What passed.
    pub traffic: Traffic,
    /// What balancers sent to each other.
    #[serde(default)]
    pub datagrams: Datagrams,
    /// What balancers reported of their tier, if they exchange datagrams with it.
    #[serde(default)]
    pub tier: Option<Tier>,
    /// How the fleet came back, if anything stopped balancers.
    #[serde(default, rename = "comeback")]
    pub recovery: Option<Recovery>,
    /// The lab's own lateness.
    pub lateness: Lateness,
    /// Violations of rules, the first of each.
    pub broken: Vec<Case>,
    /// How many violations of each rule there were.
    pub counts: BTreeMap<String, u64>,
    /// Requests that were checked to their end.
    pub checked: u64,
    /// Keyed requests whose effect came about more than once.
    pub effects_twice: u64,
    /// Expectations that were missed.
    pub missed: Vec<String>,
    /// What each balancer used at most.
    #[serde(rename = "held")]
    pub usage: Vec<ResourceUsage>,
    /// It was stopped by hand before its end.
    pub stopped: bool,
    /// Every request and every second.
    pub tally: Tally,
    /// When each fault began and ended, with its kind.
    pub faults: Vec<(Millis, Millis, String)>,
}

/// A violation, as it is stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Case {
    /// The rule.
    pub rule: String,
    /// What it asks.
    pub asks: String,
    /// When, in milliseconds of the run.
    pub at: Millis,
    /// The case.
    pub case: String,
}

/// The name of a rule or a fault as it stands in files.
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
            asks: rule.asks().into(),
            at: b.at,
            case: b.case.clone(),
        }
    }
}

impl Played {
    /// Whether all rules were kept, all expectations met, and the run counts.
    pub fn passed(&self) -> bool {
        self.counts.is_empty() && self.missed.is_empty() && self.lateness.counts && !self.stopped
    }
}

/// Mean of some metrics, and half the distance from the least to the most.
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
