//! Figures of a run, and of what was found in it.
use crate::clock::histogram;
use crate::draw::Plan;
use crate::experiment::{Expect, Experiment, FaultKind, Figure, Millis};
use crate::oracle::{Broken, Rule};
use crate::tally::{Done, How, Tally};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Figures over requests that were due in some stretch of a run. Shares are of all that were due in it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
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
    /// Worth earned over worth asked for.
    pub worth: f64,
    /// Times to the answer of what was served, in milliseconds.
    pub p50_ms: f64,
    /// See there.
    pub p99_ms: f64,
    /// Tries for each request, in the mean.
    pub tries: f64,
    /// Time that balancers added to what upstreams took, for what was served, in milliseconds.
    pub added_p50_ms: f64,
    /// See there.
    pub added_p99_ms: f64,
}

/// Figures over all requests that `wanted` picks.
pub fn figures(e: &Experiment, plan: &Plan, done: &[Done], wanted: impl Fn(&Done) -> bool) -> Figures {
    let mut f = Figures::default();
    let (mut times, mut added) = (histogram(), histogram());
    let (mut asked, mut earned, mut tries) = (0.0, 0.0, 0u64);
    for d in done.iter().filter(|d| wanted(d)) {
        let class = &e.classes[d.class];
        f.due += 1;
        asked += class.worth;
        tries += u64::from(d.tries);
        match d.how {
            How::Served => {
                times.saturating_record((d.took * 1000.0) as u64);
                added.saturating_record((d.added.unwrap_or(0.0).max(0.0) * 1000.0) as u64);
                if d.took <= plan.spans[d.class].0 {
                    f.in_time += 1.0;
                    earned += class.worth;
                } else {
                    f.late += 1.0;
                    // After its deadline it earns nothing.
                    let in_deadline = d.took <= plan.spans[d.class].1;
                    earned += if in_deadline { class.worth * class.late_worth } else { 0.0 };
                }
            }
            How::Refused => f.refused += 1.0,
            How::Failed | How::Silent | How::Unreached => f.failed += 1.0,
            How::Left => f.left += 1.0,
        }
    }
    if f.due == 0 {
        return f;
    }
    let all = f.due as f64;
    for share in [&mut f.in_time, &mut f.late, &mut f.refused, &mut f.failed, &mut f.left] {
        *share /= all;
    }
    f.worth = earned / asked;
    f.tries = tries as f64 / all;
    f.p50_ms = times.value_at_quantile(0.5) as f64 / 1000.0;
    f.p99_ms = times.value_at_quantile(0.99) as f64 / 1000.0;
    f.added_p50_ms = added.value_at_quantile(0.5) as f64 / 1000.0;
    f.added_p99_ms = added.value_at_quantile(0.99) as f64 / 1000.0;
    f
}

/// What passed between machines, for each request due.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Traffic {
    /// Attempts at all tiers.
    pub attempts: f64,
    /// Of these, between zones.
    pub crossings: f64,
    /// New connections to upstreams.
    pub connections: f64,
    /// Attempts turned away by full upstreams.
    pub declined: f64,
    /// Part of the work that no answer came of.
    pub wasted: f64,
}

/// What passed in a whole run.
pub fn traffic(tally: &Tally) -> Traffic {
    let due = tally.done.len().max(1) as f64;
    let sum = |of: fn(&crate::tally::Second) -> f64| tally.seconds.iter().map(of).sum::<f64>();
    Traffic {
        attempts: sum(|s| s.attempts.iter().sum::<u64>() as f64) / due,
        crossings: sum(|s| s.crossings as f64) / due,
        connections: sum(|s| s.connections as f64) / due,
        declined: sum(|s| s.declined as f64) / due,
        wasted: sum(|s| s.wasted) / sum(|s| s.worked).max(1.0),
    }
}

/// How a fleet came back from the first fault that stops balancers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Comeback {
    /// From a process's being begun to its first answer that was served: the median, and the longest, over all that
    /// were begun again, in milliseconds. Those that never served count as infinite, which is written as nothing.
    pub served_ms: Option<f64>,
    /// See there.
    pub served_most_ms: Option<f64>,
    /// Worth before the fault, and over the time after it began that is looked at, as a part of what was asked for.
    pub worth_before: f64,
    /// See there.
    pub worth_after: f64,
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
pub fn comeback(e: &Experiment, plan: &Plan, tally: &Tally) -> Option<Comeback> {
    let stops = |kind| matches!(kind, FaultKind::Kill | FaultKind::PowerLoss | FaultKind::Terminate);
    let fault = plan.faults.iter().find(|f| stops(f.kind) && !f.on.is_empty())?;
    // A process that was begun too late to be met by anybody says nothing.
    let again = tally.starts.iter().filter(|s| s.at >= fault.at && s.at < plan.length - WINDOW);
    let mut took: Vec<f64> = again.clone().map(|s| s.served.map_or(f64::INFINITY, |t| t - s.at)).collect();
    took.sort_by(f64::total_cmp);
    let finite = |t: Option<&f64>| t.copied().filter(|t| t.is_finite());
    let first = again.map(|s| s.at).fold(f64::INFINITY, f64::min);
    let worth =
        |from: Millis, to: Millis| figures(e, plan, &tally.done, |d| (from..to).contains(&d.at)).worth;
    let before = worth(0.0, fault.at);
    let mut windows = (0..).map(|n| first + STEP * f64::from(n)).take_while(|t| t + WINDOW <= plan.length);
    let back = windows.find(|&t| worth(t, t + WINDOW) >= BACK * before);
    Some(Comeback {
        served_ms: finite(took.get(took.len() / 2)),
        served_most_ms: finite(took.last()),
        worth_before: before,
        worth_after: worth(fault.at, fault.at + AFTER),
        back_ms: back.map(|t| t - first),
    })
}

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

/// What one balancer held at the most.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Held {
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
    /// Figures of the whole run.
    pub figures: Figures,
    /// By class, tenant and zone.
    pub by: BTreeMap<String, Figures>,
    /// What passed.
    pub traffic: Traffic,
    /// How the fleet came back, if anything stopped balancers.
    #[serde(default)]
    pub comeback: Option<Comeback>,
    /// The lab's own lateness.
    pub lateness: Lateness,
    /// Cases of broken rules, the first of each.
    pub broken: Vec<Case>,
    /// How often each rule was broken.
    pub counts: BTreeMap<String, u64>,
    /// Requests that were checked to their end.
    pub checked: u64,
    /// Keyed requests whose effect came about more than once.
    pub effects_twice: u64,
    /// Expectations that were missed.
    pub missed: Vec<String>,
    /// What each balancer held.
    pub held: Vec<Held>,
    /// It was stopped by hand before its end.
    pub stopped: bool,
    /// Every request and every second.
    pub tally: Tally,
    /// When each fault began and ended, with its kind.
    pub faults: Vec<(Millis, Millis, String)>,
}

/// A broken rule, as it is kept.
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

impl From<&Broken> for Case {
    fn from(b: &Broken) -> Case {
        let rule: Rule = b.rule;
        Case { rule: name_of(rule), asks: rule.asks().into(), at: b.at, case: b.case.clone() }
    }
}

impl Played {
    /// Whether all rules were kept, all expectations met, and the run counts.
    pub fn held(&self) -> bool {
        self.counts.is_empty() && self.missed.is_empty() && self.lateness.counts && !self.stopped
    }
}

/// Which expectations a run misses, each in one line.
pub fn missed(e: &Experiment, plan: &Plan, done: &[Done]) -> Vec<String> {
    let check = |expect: &Expect| {
        let from = expect.from.map_or(0.0, |s| s.0.mean());
        let to = expect.to.map_or(f64::INFINITY, |s| s.0.mean());
        let f = figures(e, plan, done, |d| (from..to).contains(&d.at));
        let value = match expect.figure {
            Figure::InTime => f.in_time,
            Figure::Worth => f.worth,
            Figure::Refused => f.refused,
            Figure::Failed => f.failed,
            Figure::P50Ms => f.p50_ms,
            Figure::P99Ms => f.p99_ms,
        };
        let name = name_of(expect.figure);
        let over = match to.is_finite() {
            true => format!("{:.0} to {:.0} s", from / 1000.0, to / 1000.0),
            false => format!("{:.0} s on", from / 1000.0),
        };
        let low = expect.least.filter(|&least| value.is_nan() || value < least);
        let high = expect.most.filter(|&most| value.is_nan() || value > most);
        match (low, high) {
            (Some(least), _) => Some(format!("{name} from {over} is {value:.3}, expected at least {least}")),
            (None, Some(most)) => Some(format!("{name} from {over} is {value:.3}, expected at most {most}")),
            (None, None) => None,
        }
    };
    e.expects.iter().filter_map(check).collect()
}

/// Mean of some figures, and half the distance from the least to the most.
pub fn mean_and_spread(values: &[f64]) -> (f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    (mean, if values.len() > 1 { (most - least) / 2.0 } else { 0.0 })
}
