//! Learns and estimates response times, of all upstreams and of each machine kind.
use crate::{interface::*, state::*};
use std::collections::BTreeMap;

/// An attempt that may be repeated is given up after the mean response time and this many mean deviations.
pub(super) const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Smoothing of a kind's response time, once it has many.
const KIND_GAIN: f64 = 0.02;
/// Smoothing of the mean response time and its deviation.
const MEAN_GAIN: f64 = 0.05;
/// How long an upstream's own response time is remembered unused: to 0.37 of itself.
const SLOWNESS_DECAY_TIME: Millis = 5000.0;
/// What a failure counts for at least, as a multiple of its kind's response time.
const MIN_FAILURE_SLOWNESS: f64 = 2.0;

impl ResponseTimes {
    pub(crate) fn new(settings: &Settings) -> Self {
        let mean = settings.mean_objective() / 4.0;
        ResponseTimes {
            kinds: BTreeMap::new(),
            mean,
            deviation: mean / 2.0,
        }
    }

    /// The response time after which a call is overdue.
    pub(crate) fn overdue_after(&self) -> Millis {
        self.mean + TIMEOUT_DEVIATIONS * self.deviation
    }

    /// The response time of the fastest kind, as a part of the objective; zero before the first response.
    pub(crate) fn fastest_relative(&self) -> f64 {
        self.kinds
            .values()
            .map(|kind| kind.relative)
            .filter(|&relative| relative > 0.0)
            .min_by(f64::total_cmp)
            .unwrap_or(0.0)
    }

    /// How many times longer responses of a kind take than the mean one; at least once.
    pub(crate) fn kind_slowness(&self, kind: u8) -> f64 {
        let mut total_relative = 0.0;
        let mut total_samples = 0.0;
        for kind in self.kinds.values() {
            total_relative += kind.relative * kind.samples;
            total_samples += kind.samples;
        }
        self.kinds.get(&kind).map_or(1.0, |kind| {
            (kind.relative * total_samples / total_relative).max(1.0)
        })
    }

    /// The response time to expect of an upstream, as a part of the objective, once its kind has responded: its own
    /// slowness decays if unused.
    pub(crate) fn expected_relative(&self, upstream: &Upstream, now: Millis) -> Option<f64> {
        let kind = self
            .kinds
            .get(&upstream.endpoint.kind)
            .filter(|kind| kind.relative > 0.0)?;
        let health = &upstream.health;
        let decay = (-(now - health.last_used) / SLOWNESS_DECAY_TIME).exp();
        Some(kind.relative * (1.0 + (health.slowness - 1.0) * decay))
    }

    /// The response time to expect of an upstream: the mean one before its kind has responded.
    pub(crate) fn expected(&self, upstream: &Upstream, objective: Millis, now: Millis) -> Millis {
        self.expected_relative(upstream, now)
            .map_or(self.mean, |relative| relative * objective)
    }

    /// Records a response of a kind, which took `relative` of its objective. Returns how many times longer it took
    /// than the kind's responses do.
    pub(crate) fn record_response(&mut self, kind: u8, duration: Millis, relative: f64) -> f64 {
        let kind = self.kinds.entry(kind).or_default();
        kind.samples += 1.0;
        kind.relative += KIND_GAIN.max(1.0 / kind.samples) * (relative - kind.relative);
        self.deviation += MEAN_GAIN * ((duration - self.mean).abs() - self.deviation);
        self.mean += MEAN_GAIN * (duration - self.mean);
        slowness(kind, relative)
    }

    /// Records a failure after `relative` of the objective. Returns what it counts for, as a multiple of the kind's
    /// response time.
    pub(crate) fn record_failure(&mut self, kind: u8, relative: f64) -> f64 {
        let kind = self.kinds.entry(kind).or_default();
        slowness(kind, relative).max(MIN_FAILURE_SLOWNESS)
    }
}

/// How many times longer than the kind's responses one took.
fn slowness(kind: &KindResponseTime, relative: f64) -> f64 {
    if kind.relative > 0.0 {
        relative / kind.relative
    } else {
        1.0
    }
}
