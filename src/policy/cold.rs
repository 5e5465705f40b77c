//! Owns the token buckets of upstreams in slow start: how many calls each may be sent.
use crate::{interface::*, state::*};

impl Fleet {
    /// Whether a listed upstream may be sent a call now: it is not out, and within its slow-start budget.
    pub fn usable(&mut self, i: usize, ask: &PickRequest) -> bool {
        let PickRequest { settings: s, now, cold_rate, desperate, .. } = *ask;
        let (warmth, out) = (self.slots[i].warmth(s, now), !desperate && self.out(i, now));
        if out || warmth >= 1.0 {
            return !out;
        }
        let u = &mut self.slots[i];
        // All copies together stay under the tipping point: each takes its own part, at most one call ahead.
        u.tokens = (u.tokens + cold_rate * warmth * (now - u.tokens_at)).min(1.0);
        u.tokens_at = now;
        u.tokens >= 1.0
    }

    /// As parts of the most there were, each as far as it is warm: the ready upstreams, and the usable ones.
    pub fn count(&mut self, s: &Settings, now: Millis) -> (f64, f64) {
        let (mut warm, mut usable) = (0.0, 0.0);
        let ready = |&&i: &&usize| self.slots[i].member.availability == Availability::Ready;
        for &i in self.by_id.values().filter(ready) {
            let (u, warmth) = (&self.slots[i], self.slots[i].warmth(s, now));
            warm += warmth;
            // Errors eject too, but may come from behind and do not show that it can carry nothing.
            let lost = now < u.health.lost_until || self.silent(i, now) || self.crowded(i, now);
            usable += if lost { 0.0 } else { warmth * (1.0 - self.zones.gone(u.member.zone)) };
        }
        self.most = self.most.max(warm);
        ((self.subset.ready as f64 / self.most.max(0.1)).min(1.0), usable / self.most.max(0.1))
    }
}
