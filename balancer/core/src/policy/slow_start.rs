//! Limits the calls to each upstream in slow start with a token bucket.
use crate::state::*;

/// Unused tokens expire after this fraction of the overload window.
const TOKEN_EXPIRY: f64 = 0.5;

impl Fleet {
    /// Whether an upstream may be sent a call now: it is not excluded and within its slow-start budget.
    pub(crate) fn is_usable(&mut self, slot: usize, request: &PickRequest<'_>) -> bool {
        let now = request.now;
        if !request.last_resort && self.is_excluded(slot, now) {
            return false;
        }
        let settings = request.settings;
        let upstream = &mut self.slots[slot];
        let weight = upstream.slow_start_weight(settings, now);
        if weight >= 1.0 {
            return true;
        }
        // Tokens accumulate fractionally from a random phase, so that the calls of all balancers add up to the sum of
        // their rates. Unused tokens expire, as hundreds of balancers could otherwise spend theirs in one burst.
        let slowness = self.response_times.kind_slowness(upstream.endpoint.kind);
        let rate = request.slow_start_rate * weight / slowness;
        let max_saved = (rate * settings.overload_window * TOKEN_EXPIRY).min(1.0);
        upstream.slow_start_tokens += rate * (now - upstream.slow_start_tokens_at);
        upstream.slow_start_tokens -= (upstream.slow_start_tokens - 1.0 - max_saved)
            .max(0.0)
            .ceil();
        upstream.slow_start_tokens_at = now;
        upstream.slow_start_tokens >= 1.0
    }
}
