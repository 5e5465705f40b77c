//! Learns and estimates response times, over all upstreams and by machine type.
use crate::{interface::*, state::*};
use std::collections::BTreeMap;

/// Mean deviations above the mean response time after which a call is overdue.
pub(super) const TIMEOUT_DEVIATIONS: f64 = 4.0;
/// Smoothing factor of a machine type's response time, once it has many samples.
const KIND_GAIN: f64 = 0.02;
/// Smoothing factor of the mean response time and its mean deviation.
const MEAN_GAIN: f64 = 0.05;
/// Time constant with which the slowness of an unused upstream decays.
const SLOWNESS_DECAY_TIME: Millis = 5000.0;
/// Minimum slowness recorded for a failure.
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

    /// Response time from which a call is overdue.
    pub(crate) fn overdue_after(&self) -> Millis {
        self.mean + TIMEOUT_DEVIATIONS * self.deviation
    }

    /// Response time of the fastest machine type relative to the objective; zero before the first response.
    pub(crate) fn fastest_relative(&self) -> f64 {
        self.kinds
            .values()
            .map(|kind| kind.relative)
            .filter(|&relative| relative > 0.0)
            .min_by(f64::total_cmp)
            .unwrap_or(0.0)
    }

    /// Ratio of a machine type's response time to the mean; at least one.
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

    /// Expected response time of an upstream relative to the objective; `None` before the first response of its machine
    /// type. The upstream's own slowness decays while it is unused.
    pub(crate) fn expected_relative(&self, upstream: &Upstream, now: Millis) -> Option<f64> {
        let kind = self
            .kinds
            .get(&upstream.endpoint.kind)
            .filter(|kind| kind.relative > 0.0)?;
        let health = &upstream.health;
        let decay = (-(now - health.last_used) / SLOWNESS_DECAY_TIME).exp();
        Some(kind.relative * (1.0 + (health.slowness - 1.0) * decay))
    }

    /// Expected response time of an upstream; the overall mean before the first response of its machine type.
    pub(crate) fn expected(&self, upstream: &Upstream, objective: Millis, now: Millis) -> Millis {
        self.expected_relative(upstream, now)
            .map_or(self.mean, |relative| relative * objective)
    }

    /// Records a response of a machine type that took `relative` times its objective. Returns its slowness.
    pub(crate) fn record_response(&mut self, kind: u8, duration: Millis, relative: f64) -> f64 {
        let kind = self.kinds.entry(kind).or_default();
        kind.samples += 1.0;
        kind.relative += KIND_GAIN.max(1.0 / kind.samples) * (relative - kind.relative);
        self.deviation += MEAN_GAIN * ((duration - self.mean).abs() - self.deviation);
        self.mean += MEAN_GAIN * (duration - self.mean);
        slowness(kind, relative)
    }

    /// Returns the slowness that a failure after `relative` times the objective counts for.
    pub(crate) fn record_failure(&mut self, kind: u8, relative: f64) -> f64 {
        let kind = self.kinds.entry(kind).or_default();
        slowness(kind, relative).max(MIN_FAILURE_SLOWNESS)
    }
}

/// Ratio of a response time to the mean of its machine type.
fn slowness(kind: &KindResponseTime, relative: f64) -> f64 {
    if kind.relative > 0.0 {
        relative / kind.relative
    } else {
        1.0
    }
}
