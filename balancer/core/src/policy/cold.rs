//! Owns the token buckets of upstreams in slow start: how many calls each may be sent.
use crate::{interface::*, state::*};

/// A token that goes unused lapses after this part of the window that the budget holds in.
const TOKEN_KEPT: f64 = 0.5;

impl Fleet {
    /// Whether a listed upstream may be sent a call now: it is not out, and within its slow-start budget.
    pub(crate) fn usable(&mut self, i: usize, ask: &PickRequest<'_>) -> bool {
        let PickRequest {
            settings: s,
            now,
            cold_rate,
            desperate,
            ..
        } = *ask;
        let (warmth, out) = (self.slots[i].warmth(s, now), !desperate && self.out(i, now));
        if out || warmth >= 1.0 {
            return !out;
        }
        let u = &mut self.slots[i];
        // A token comes whenever the sum, begun in random phase, passes a whole number: all balancers get the
        // sum of their rates. Unused ones lapse, or what hundreds have saved would come in one burst.
        let rate = cold_rate * warmth / self.answers.slower(u.member.kind);
        u.tokens += rate * (now - u.tokens_at);
        u.tokens -= (u.tokens - 1.0 - (rate * s.overload_window * TOKEN_KEPT).min(1.0))
            .max(0.0)
            .ceil();
        u.tokens_at = now;
        u.tokens >= 1.0
    }

    /// As parts of the most there were, each as far as it is warm: the ready upstreams, and the usable ones.
    pub(crate) fn count(&mut self, s: &Settings, now: Millis) -> (f64, f64) {
        let (mut warm, mut usable) = (0.0, 0.0);
        let ready = |&&i: &&usize| self.slots[i].member.availability == Availability::Ready;
        for &i in self.by_id.values().filter(ready) {
            let (u, warmth) = (&self.slots[i], self.slots[i].warmth(s, now));
            warm += warmth;
            // Errors eject too, but may come from behind and do not show that it can carry nothing.
            let lost = now < u.health.lost_until || self.silent(i, now) || self.crowded(i, now);
            usable += if lost {
                0.0
            } else {
                warmth * (1.0 - self.zones.gone(u.member.zone))
            };
        }
        self.most = self.most.max(warm);
        (
            (self.subset.ready as f64 / self.most.max(0.1)).min(1.0),
            usable / self.most.max(0.1),
        )
    }
}
