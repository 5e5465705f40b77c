//! Evaluates the load reports of upstreams: their requests in flight and their request rate.
use super::{limits::CYCLE, subset::MIN_SUBSET};
use crate::{interface::*, state::*};

/// An upstream is overloaded if its reported load exceeds this multiple of the mean by `OVERLOAD_MARGIN` requests.
const OVERLOAD_RATIO: f64 = 1.5;
const OVERLOAD_MARGIN: f64 = 2.0;
/// How long a report is valid.
const REPORT_VALID_FOR: Millis = 2000.0;
/// Smoothing factor of the mean reported load.
const REPORT_GAIN: f64 = 0.05;

impl Fleet {
    /// Records the number of requests in flight that an upstream reports.
    pub(crate) fn record_reported_load(&mut self, id: UpstreamId, load: f64, now: Millis) {
        if let Some(&slot) = self.by_id.get(&id).filter(|_| load.is_finite()) {
            let upstream = &mut self.slots[slot];
            upstream.reported_load = load;
            upstream.reported_load_at = now;
            self.mean_reported_load += REPORT_GAIN * (load - self.mean_reported_load);
            self.locality
                .record_reported_load(upstream.endpoint.zone, load);
        }
    }

    /// Served rate over all instances in calls per cycle, from recent reports of upstreams.
    pub(crate) fn served_by_all(&self, now: Millis) -> Option<f64> {
        let is_up = |upstream: &&Upstream| {
            upstream.endpoint.availability == Availability::Ready
                && now >= upstream.health.lost_until
        };
        let up: Vec<&Upstream> = self
            .by_id
            .values()
            .map(|&slot| &self.slots[slot])
            .filter(is_up)
            .collect();
        let has_reported = |upstream: &&&Upstream| {
            upstream.served_rate > 0.0 && now - upstream.served_rate_at < REPORT_VALID_FOR
        };
        let rates: Vec<f64> = up
            .iter()
            .filter(has_reported)
            .map(|upstream| upstream.served_rate)
            .collect();
        let mean = rates.iter().sum::<f64>() / rates.len() as f64;
        (rates.len() >= MIN_SUBSET / 2).then_some(mean * up.len() as f64 * CYCLE / 1000.0)
    }

    /// Whether an upstream recently reported a much higher load than others; with many balancers, the sum of few calls
    /// from each can overload an upstream.
    pub(crate) fn is_overloaded(&self, slot: usize, now: Millis) -> bool {
        let upstream = &self.slots[slot];
        let bound = OVERLOAD_RATIO * self.mean_reported_load + OVERLOAD_MARGIN;
        now - upstream.reported_load_at < REPORT_VALID_FOR && upstream.reported_load > bound
    }
}
