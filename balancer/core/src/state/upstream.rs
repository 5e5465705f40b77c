//! What is known of an upstream.
use crate::interface::{Endpoint, Health, Millis, Settings};

/// An upstream that is listed, or that still owes an answer.
#[derive(Default)]
pub(crate) struct Upstream {
    pub member: Endpoint,
    pub inflight: u32,
    /// Connections that should be open, and since when one of them may have rested.
    pub connections: u32,
    pub rested_from: Millis,
    /// Since when it owes an answer and has given none.
    pub silent_since: Millis,
    pub health: Health,
    /// When it last served one.
    pub ok_at: Option<Millis>,
    /// When a call to it broke last: however many do, it counts once in its zone.
    pub broke_at: Millis,
    /// Requests it said it holds, from all copies together, and when it said so.
    pub held: f64,
    pub held_at: Millis,
    /// Requests a second it said it serves, for all copies together, and when it said so.
    pub served: f64,
    pub served_at: Millis,
    /// Cold budget: calls that may be sent now, and when that was reckoned.
    pub tokens: f64,
    pub tokens_at: Millis,
}

impl Upstream {
    /// What part of its full capacity an upstream has now, for sure.
    pub(crate) fn warmth(&self, s: &Settings, now: Millis) -> f64 {
        let age = now - self.member.since;
        if self.member.since <= 0.0 || age >= s.slow_start_time {
            return 1.0;
        }
        (s.slow_start_from + (1.0 - s.slow_start_from) * age.max(0.0) / s.slow_start_time).min(1.0)
    }

    /// A call was sent, on a connection that may have `rest`ed so many steps; zero: on a fresh one.
    pub(crate) fn sent(&mut self, rest: usize, now: Millis) {
        if rest == 0 {
            self.connections = self.inflight;
        }
        self.silent_since = if self.inflight == 0 {
            now
        } else {
            self.silent_since
        };
        self.inflight += 1;
        if self.connections <= self.inflight {
            (self.connections, self.rested_from) = (self.inflight, now);
        }
        self.health.last_used = now;
        self.tokens -= 1.0;
    }

    /// A call ended. A connection whose call got no answer, `cut`, does not come back for another.
    pub(crate) fn ended(&mut self, cut: bool, now: Millis) {
        self.rested_from = if self.inflight >= self.connections {
            now
        } else {
            self.rested_from
        };
        self.connections -= self.connections.min(u32::from(cut));
        self.inflight = self.inflight.saturating_sub(1);
        self.health.last_used = now;
    }
}
