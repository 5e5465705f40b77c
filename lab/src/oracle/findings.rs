//! What was found: violations of rules with their cases, and cases that stand only if the lab was not late itself. Owns
//! the lab's lateness as far as it explains anything.
use super::rule::Rule;
use crate::experiment::Millis;
use serde::Serialize;
use std::collections::{BTreeMap, VecDeque};

/// Cases written down for each rule; more are counted.
const CASES_MOST: usize = 20;
/// The lab's own lateness explains what it saw this long before and after.
const LATE_AROUND: Millis = 1000.0;
/// Lateness of less than this explains nothing that the slack does not.
const LATE_LEAST: Millis = 5.0;

/// A violation of a rule, and the case.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When it was seen.
    pub at: Millis,
    /// The case, in one line.
    pub case: String,
}

/// A case that rests on the lab's own timing: it stands only if the lab was not late itself by as much.
pub(super) struct Suspect {
    pub rule: Rule,
    /// By how much a limit was passed.
    pub by: Millis,
    pub case: String,
}

/// Violations and suspects.
#[derive(Default)]
pub(super) struct Findings {
    /// The run is over: what its processes' ends bring about is nobody's fault.
    closed: bool,
    suspects: Vec<(Millis, Suspect)>,
    /// When the lab was late, and by how much.
    late: VecDeque<(Millis, Millis)>,
    broken: Vec<Violation>,
    counts: BTreeMap<Rule, u64>,
}

impl Findings {
    /// Records a violation.
    pub(super) fn breaks(&mut self, at: Millis, rule: Rule, case: String) {
        if self.closed {
            return;
        }
        let count = self.counts.entry(rule).or_default();
        *count += 1;
        if *count as usize <= CASES_MOST {
            self.broken.push(Violation { rule, at, case });
        }
    }

    /// A limit of time was passed, as far as the lab can tell.
    pub(super) fn suspects(&mut self, at: Millis, suspect: Suspect) {
        self.suspects.push((at, suspect));
    }

    /// The lab did something this much later than it meant to.
    pub(super) fn lab_late(&mut self, now: Millis, by: Millis) {
        if by >= LATE_LEAST {
            self.late.push_back((now, by));
        }
    }

    /// Decides on what was suspected long enough ago for the lab's lateness around it to be known.
    pub(super) fn judge(&mut self, now: Millis) {
        let known = now - LATE_AROUND;
        let (due, open): (Vec<_>, Vec<_>) = std::mem::take(&mut self.suspects)
            .into_iter()
            .partition(|(at, _)| *at <= known);
        self.suspects = open;
        for (at, s) in due {
            let explained = self
                .late
                .iter()
                .any(|&(late, by)| (late - at).abs() <= LATE_AROUND && by >= s.by);
            if !explained {
                self.breaks(at, s.rule, s.case);
            }
        }
        while self
            .late
            .front()
            .is_some_and(|&(at, _)| at < known - LATE_AROUND)
        {
            self.late.pop_front();
        }
    }

    /// The first cases of each rule, and how many there were.
    pub(super) fn found(&self) -> (&[Violation], &BTreeMap<Rule, u64>) {
        (&self.broken, &self.counts)
    }

    /// Nothing is judged any more.
    pub(super) fn close(&mut self) {
        self.closed = true;
    }
}
