//! How long it takes from a change of who runs until every balancer of the tier knows, as their metrics report.
//!
//! Sans-I/O. A change is who runs where before somebody else did; what a balancer reports counts from the metrics that
//! show it, so that their period adds to each time.
use crate::audit::Tier;
use crate::clock::histogram;
use crate::experiment::Millis;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Who does not know after this is counted, and not waited for any longer.
const LIMIT: Millis = 10_000.0;

/// Times until balancers know who runs, and until their sums have all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Known {
    /// Times that were measured: one for each change and balancer.
    pub times: u64,
    /// In milliseconds.
    pub p50_ms: f64,
    /// See there.
    pub p99_ms: f64,
    /// Balancers that did not know after ten seconds.
    pub never: u64,
}

struct Measure {
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

    fn known(&self) -> Known {
        let at = |q: f64| self.times.value_at_quantile(q) as f64 / 1000.0;
        Known {
            times: self.times.len(),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            never: self.never,
        }
    }
}

/// One tier.
pub struct Convergence {
    running: BTreeSet<usize>,
    /// When that changed last; nothing while it can't be judged.
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
    /// These run now. `disturbed`: not all of them can reach each other, so that nobody can be held to know.
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
        // How a tier comes together at its start is not what one member's coming or going takes.
        self.changed = (!first && !disturbed).then_some(now);
        if self.changed.is_some() {
            self.members.waiting.clone_from(running);
            self.sums.waiting.clone_from(running);
        }
    }

    /// Takes what a balancer's metrics of this time report.
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

    /// What came of it: until balancers knew who is up, and until their sums had all.
    pub fn known(&self) -> (Known, Known) {
        (self.members.known(), self.sums.known())
    }
}
