//! The load that an upstream reports of itself: measured periodically, published after a delay, and noisy.
use crate::draw::Draws;
use crate::experiment::Millis;

/// The weight of the latest service time in their moving average.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// The instantaneous values that a report is measured from.
pub(super) struct Load {
    pub(super) in_flight: usize,
}

/// The period, delay and noise of load reports.
#[derive(Clone, Copy)]
pub(super) struct ReportRules {
    pub(super) period: Millis,
    /// From a measurement until responses carry it.
    pub(super) delay: Millis,
    /// The error of each value, as a share of it.
    pub(super) noise: f64,
}

/// A report that responses don't carry yet.
struct Pending {
    shows_at: Millis,
    text: String,
}

/// The load report that responses carry, and the next one.
pub(super) struct LoadReport {
    rules: ReportRules,
    measured_at: Millis,
    text: String,
    pending: Option<Pending>,
    draws: Draws,
    /// Moving average of service times.
    service_time: Millis,
    served: u64,
    /// When the rate was last measured.
    rate_since: Millis,
    /// How many attempts had been served at `rate_since`.
    served_before: u64,
}

impl LoadReport {
    pub(super) fn new(rules: ReportRules, draws: Draws, service_time: Millis) -> LoadReport {
        LoadReport {
            rules,
            measured_at: f64::NEG_INFINITY,
            text: String::new(),
            pending: None,
            draws,
            service_time,
            served: 0,
            rate_since: 0.0,
            served_before: 0,
        }
    }

    /// Records that an attempt was served.
    pub(super) fn record_served(&mut self, took: Millis) {
        self.service_time += SERVICE_TIME_WEIGHT * (took - self.service_time);
        self.served += 1;
    }

    /// Returns the current report; measures the next one if it is due.
    pub(super) fn text(&mut self, now: Millis, load: &Load) -> String {
        if let Some(due) = self.pending.take_if(|pending| now >= pending.shows_at) {
            self.text = due.text;
        }
        if now - self.measured_at >= self.rules.period && self.pending.is_none() {
            self.measure(now, load);
        }
        self.text.clone()
    }

    fn measure(&mut self, now: Millis, load: &Load) {
        let span = (now - self.rate_since).max(1.0);
        let served = (self.served - self.served_before) as f64;
        let qps = self.noisy(served * 1000.0 / span);
        let latency = self.noisy(self.service_time);
        let in_flight = self.noisy(load.in_flight as f64);
        let text = format!("TEXT latency_ms={latency:.1}, qps={qps:.1}, inflight={in_flight:.1}");
        self.rate_since = now;
        self.served_before = self.served;
        self.measured_at = now;
        self.pending = Some(Pending {
            shows_at: now + self.rules.delay,
            text,
        });
    }

    fn noisy(&mut self, value: f64) -> f64 {
        let off = (self.draws.noise() - 1.0) * 5.0;
        (value * (1.0 + self.rules.noise * off)).max(0.0)
    }
}
