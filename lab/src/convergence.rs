//! Convergence times: from a change of the running balancers until every balancer of the tier knows it, as their
//! metrics report.
//!
//! Sans-I/O. A change is any difference in the set of running balancers. Times end with the first metrics that show
//! the change, so they include the period of the metrics.
use crate::audit::Tier;
use crate::clock::histogram;
use crate::experiment::Millis;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// A balancer that does not know a change after this time is counted in `never`.
const LIMIT: Millis = 10_000.0;

/// Convergence times of one kind of knowledge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ConvergenceTimes {
    /// The number of times measured: one for each change and balancer.
    pub times: u64,
    /// The median, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// How often a balancer did not know a change after ten seconds.
    pub never: u64,
}

struct Measure {
    /// The balancers that do not know the latest change yet.
    waiting: BTreeSet<usize>,
    times: Histogram<u64>,
    never: u64,
}

impl Measure {
    fn new() -> Measure {
        Measure {
            waiting: BTreeSet::new(),
            times: histogram(),
            never: 0,
        }
    }

    fn known(&self) -> ConvergenceTimes {
        let at = |q: f64| self.times.value_at_quantile(q) as f64 / 1000.0;
        ConvergenceTimes {
            times: self.times.len(),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            never: self.never,
        }
    }
}

/// The convergence of one tier.
pub struct Convergence {
    running: BTreeSet<usize>,
    /// When `running` last changed; `None` if there is no change to measure.
    changed: Option<Millis>,
    members: Measure,
    sums: Measure,
}

impl Default for Convergence {
    fn default() -> Self {
        Convergence {
            running: BTreeSet::new(),
            changed: None,
            members: Measure::new(),
            sums: Measure::new(),
        }
    }
}

impl Convergence {
    /// Updates the set of running balancers. `disturbed`: not all of them can reach each other, so nothing is measured.
    pub fn runs(&mut self, now: Millis, running: &BTreeSet<usize>, disturbed: bool) {
        let (first, same) = (self.running.is_empty(), self.running == *running);
        let over = self.changed.is_some_and(|at| now - at > LIMIT);
        for measure in [&mut self.members, &mut self.sums] {
            if over {
                measure.never += measure.waiting.len() as u64;
            }
            if over || disturbed || !same {
                measure.waiting.clear();
            }
        }
        if disturbed || over {
            self.changed = None;
        }
        if same {
            return;
        }
        self.running.clone_from(running);
        // The start of the whole tier is excluded: it says nothing about the time after a member joins or leaves.
        self.changed = (!first && !disturbed).then_some(now);
        if self.changed.is_some() {
            self.members.waiting.clone_from(running);
            self.sums.waiting.clone_from(running);
        }
    }

    /// Records what a balancer's metrics of time `at` report.
    pub fn observe(&mut self, balancer: usize, at: Millis, tier: Tier) {
        let Some(changed) = self.changed.filter(|changed| at >= *changed) else {
            return;
        };
        let all = self.running.len() as u32;
        for (measure, knows) in [(&mut self.members, tier.up), (&mut self.sums, tier.in_sums)] {
            if knows == all && measure.waiting.remove(&balancer) {
                measure
                    .times
                    .saturating_record(((at - changed) * 1000.0) as u64);
            }
        }
    }

    /// The times until balancers knew the members, and until their sums included all members.
    pub fn known(&self) -> (ConvergenceTimes, ConvergenceTimes) {
        (self.members.known(), self.sums.known())
    }
}
