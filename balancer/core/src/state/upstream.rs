//! State of an upstream.
use crate::interface::{Endpoint, Health, Millis, Settings};

/// State of a connection after its call has ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionFate {
    /// Open for another call.
    Reusable,
    /// Closed, as its call got no response.
    Closed,
}

/// An upstream that is listed or has calls in flight.
#[derive(Default)]
pub(crate) struct Upstream {
    pub endpoint: Endpoint,
    /// This instance's calls in flight.
    pub in_flight: u32,
    /// Expected number of open connections.
    pub connections: u32,
    /// Earliest time since when one of the connections may have been idle.
    pub idle_since: Millis,
    /// Since when it has had calls in flight without responding.
    pub unanswered_since: Millis,
    pub health: Health,
    /// When it last completed a call successfully.
    pub last_success: Option<Millis>,
    /// When a call to it last failed without a response. Each upstream counts only once among its zone's broken ones.
    pub broken_at: Millis,
    /// Requests in flight over all instances, as it last reported.
    pub reported_load: f64,
    pub reported_load_at: Millis,
    /// Requests per second over all instances, as it last reported.
    pub served_rate: f64,
    pub served_rate_at: Millis,
    /// Slow-start token bucket: calls that may be sent now.
    pub slow_start_tokens: f64,
    pub slow_start_tokens_at: Millis,
}

impl Upstream {
    /// Minimum fraction of its full capacity that the upstream has now.
    pub(crate) fn slow_start_weight(&self, settings: &Settings, now: Millis) -> f64 {
        let age = now - self.endpoint.since;
        if self.endpoint.since <= 0.0 || age >= settings.slow_start_time {
            return 1.0;
        }
        let from = settings.slow_start_from;
        (from + (1.0 - from) * age.max(0.0) / settings.slow_start_time).min(1.0)
    }

    /// Whether the upstream is in slow start.
    pub(crate) fn is_warming_up(&self, settings: &Settings, now: Millis) -> bool {
        self.slow_start_weight(settings, now) < 1.0
    }

    /// Records a sent call and the idle-time step of its connection; zero for a new connection.
    pub(crate) fn on_call_start(&mut self, idle_step: usize, now: Millis) {
        if idle_step == 0 {
            self.connections = self.in_flight;
        }
        if self.in_flight == 0 {
            self.unanswered_since = now;
        }
        self.in_flight += 1;
        if self.connections <= self.in_flight {
            self.connections = self.in_flight;
            self.idle_since = now;
        }
        self.health.last_used = now;
        self.slow_start_tokens -= 1.0;
    }

    /// Records a completed call.
    pub(crate) fn on_call_end(&mut self, connection: ConnectionFate, now: Millis) {
        if self.in_flight >= self.connections {
            self.idle_since = now;
        }
        if connection == ConnectionFate::Closed {
            self.connections = self.connections.saturating_sub(1);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        self.health.last_used = now;
    }
}
