//! Recorded violations, and suspected ones that are discarded if the lab's own lateness explains them. Owns the recent
//! lateness of the lab.
use super::rule::Rule;
use crate::experiment::Millis;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of violations described per rule; further ones are only counted.
const MAX_CASES: usize = 20;
/// Lateness of the lab can explain a suspected violation within this time before or after it.
const LATENESS_WINDOW: Millis = 1000.0;
/// Smaller lateness is ignored: the rules' slack already covers it.
const MIN_LATENESS: Millis = 5.0;

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// When it was observed.
    pub at: Millis,
    /// A one-line description.
    pub case: String,
}

/// A suspected violation of a time limit. It is discarded if the lab itself was late by at least as much.
pub(super) struct Suspect {
    pub rule: Rule,
    /// By how much the limit was exceeded.
    pub by: Millis,
    pub case: String,
}

/// Violations and suspected violations.
#[derive(Default)]
pub(super) struct Findings {
    /// Set at the end of the run: effects of shutting down the processes are not violations.
    closed: bool,
    suspects: Vec<(Millis, Suspect)>,
    /// When the lab was late, and by how much.
    late: VecDeque<(Millis, Millis)>,
    broken: Vec<Violation>,
    counts: BTreeMap<Rule, u64>,
}

impl Findings {
    /// Records a violation.
    pub(super) fn record_violation(&mut self, at: Millis, rule: Rule, case: String) {
        if self.closed {
            return;
        }
        let count = self.counts.entry(rule).or_default();
        *count += 1;
        if *count as usize <= MAX_CASES {
            self.broken.push(Violation { rule, at, case });
        }
    }

    /// Records a suspected violation of a time limit.
    pub(super) fn suspects(&mut self, at: Millis, suspect: Suspect) {
        self.suspects.push((at, suspect));
    }

    /// Records that the lab acted later than scheduled by the given time.
    pub(super) fn lab_late(&mut self, now: Millis, by: Millis) {
        if by >= MIN_LATENESS {
            self.late.push_back((now, by));
        }
    }

    /// Decides on suspected violations that are old enough for the lab's lateness around them to be known.
    pub(super) fn judge(&mut self, now: Millis) {
        let known = now - LATENESS_WINDOW;
        let (due, undecided): (Vec<_>, Vec<_>) = std::mem::take(&mut self.suspects)
            .into_iter()
            .partition(|(at, _)| *at <= known);
        self.suspects = undecided;
        for (at, s) in due {
            let explained = self
                .late
                .iter()
                .any(|&(late, by)| (late - at).abs() <= LATENESS_WINDOW && by >= s.by);
            if !explained {
                self.record_violation(at, s.rule, s.case);
            }
        }
        while self
            .late
            .front()
            .is_some_and(|&(at, _)| at < known - LATENESS_WINDOW)
        {
            self.late.pop_front();
        }
    }

    /// Returns the first violations of each rule, and the total count per rule.
    pub(super) fn violations(&self) -> (&[Violation], &BTreeMap<Rule, u64>) {
        (&self.broken, &self.counts)
    }

    /// Ignores all further violations.
    pub(super) fn close(&mut self) {
        self.closed = true;
    }
}
