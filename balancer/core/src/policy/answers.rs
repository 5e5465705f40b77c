//! Owns what answers take: of all upstreams, and of each machine kind.
use crate::{interface::*, state::*};
use std::collections::BTreeMap;

/// An attempt that may be repeated is given up after the mean answer time and this many mean deviations.
pub(super) const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Smoothing of a kind's answer time, once it has many; how long an upstream's own one is remembered unused.
const KIND_GAIN: f64 = 0.02;
const ANSWER_KEPT: Millis = 5000.0;

impl Answers {
    pub(crate) fn new(s: &Settings) -> Self {
        let latency = s.mean_objective() / 4.0;
        Answers {
            kinds: BTreeMap::new(),
            latency,
            deviation: latency / 2.0,
        }
    }

    /// An answer that takes longer is overdue.
    pub(crate) fn patience(&self) -> Millis {
        self.latency + TIMEOUT_DEVIATIONS * self.deviation
    }

    /// What answers of the fastest kind take, as a part of the objective; zero before the first.
    pub(crate) fn soonest(&self) -> f64 {
        let parts = self
            .kinds
            .values()
            .map(|&(usual, _)| usual)
            .filter(|&usual| usual > 0.0);
        parts.min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// How many times longer answers of a kind take than the mean one; at least once.
    pub(crate) fn slower(&self, kind: u8) -> f64 {
        let (times, answers) = self
            .kinds
            .values()
            .fold((0.0, 0.0), |(t, n), k| (t + k.0 * k.1, n + k.1));
        self.kinds
            .get(&kind)
            .map_or(1.0, |kind| (kind.0 * answers / times).max(1.0))
    }

    /// What its answers take, in objectives, once its kind has answered: its own slowness fades if unused.
    pub(crate) fn usual(&self, u: &Upstream, now: Millis) -> Option<f64> {
        let (kind, _) = self
            .kinds
            .get(&u.member.kind)
            .filter(|(kind, _)| *kind > 0.0)?;
        Some(
            kind * (1.0
                + (u.health.slowness - 1.0) * (-(now - u.health.last_used) / ANSWER_KEPT).exp()),
        )
    }

    /// Takes note of an answer of a kind, or of a failure. Tells what it took of what the kind does.
    pub(crate) fn note(&mut self, kind: u8, served: bool, duration: Millis, part: f64) -> f64 {
        let (usual, answers) = self.kinds.entry(kind).or_default();
        if served {
            *answers += 1.0;
            *usual += KIND_GAIN.max(1.0 / *answers) * (part - *usual);
            self.deviation += 0.05 * ((duration - self.latency).abs() - self.deviation);
            self.latency += 0.05 * (duration - self.latency);
        }
        let took = if *usual > 0.0 { part / *usual } else { 1.0 };
        took.max(if served { took } else { 2.0 })
    }
}
