//! What is known of an upstream.
use crate::interface::{Endpoint, Health, Millis, Settings};

/// What becomes of the connection of a call that ended.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectionFate {
    /// It is open for another call.
    Reusable,
    /// Its call got no response: it does not come back for another.
    Closed,
}

/// An upstream that is listed, or that still owes a response.
#[derive(Default)]
pub(crate) struct Upstream {
    pub endpoint: Endpoint,
    /// Calls of this instance in flight.
    pub in_flight: u32,
    /// Connections that should be open.
    pub connections: u32,
    /// Since when one of the connections may have been idle.
    pub idle_since: Millis,
    /// Since when it owes a response and has given none.
    pub unanswered_since: Millis,
    pub health: Health,
    /// When it last served a call.
    pub last_success: Option<Millis>,
    /// When a call to it last counted as broken in its zone: however many do, it counts once.
    pub broken_at: Millis,
    /// Requests in flight that it reports, from all instances together.
    pub reported_load: f64,
    pub reported_load_at: Millis,
    /// Requests a second that it reports to serve, for all instances together.
    pub served_rate: f64,
    pub served_rate_at: Millis,
    /// Slow-start budget: calls that may be sent now.
    pub slow_start_tokens: f64,
    pub slow_start_tokens_at: Millis,
}

impl Upstream {
    /// The part of its full capacity that an upstream has now, at least.
    pub(crate) fn slow_start_weight(&self, settings: &Settings, now: Millis) -> f64 {
        let age = now - self.endpoint.since;
        if self.endpoint.since <= 0.0 || age >= settings.slow_start_time {
            return 1.0;
        }
        let from = settings.slow_start_from;
        (from + (1.0 - from) * age.max(0.0) / settings.slow_start_time).min(1.0)
    }

    /// Whether it is in slow start.
    pub(crate) fn is_warming_up(&self, settings: &Settings, now: Millis) -> bool {
        self.slow_start_weight(settings, now) < 1.0
    }

    /// Records a call that was sent, on a connection that may have been idle for so many steps; zero: on a new one.
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

    /// Records a call that ended.
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
