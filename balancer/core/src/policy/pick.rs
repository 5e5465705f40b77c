//! Picks an upstream for a call. Owns no state.
use crate::{interface::*, state::*};
use std::cmp::Ordering;

/// Random draws before the pick walks the list or settles for one.
const DRAWS: usize = 6;
/// The ratio of answer times that decides between two that hold as many calls.
const ANSWER_RATIO: f64 = 1.25;
/// The part of the calls that keep to the own zone for which both are drawn there; the others draw one there.
const NEAR_BOTH: f64 = 0.2;

impl Fleet {
    /// By own calls in flight. If these are equal (few, mostly), the one whose answers took clearly less of
    /// late; else, if calls keep near, the one in the own zone; else the one used longest ago.
    pub(crate) fn less_busy(&self, a: usize, b: usize, now: Millis, lean: bool) -> bool {
        let (a, b) = (&self.slots[a], &self.slots[b]);
        let near = |u: &Upstream| Some(u.member.zone) == self.near.zone;
        let usual = |u| self.answers.usual(u, now);
        let slow = |a, b| {
            usual(a)
                .zip(usual(b))
                .is_some_and(|(a, b)| a > ANSWER_RATIO * b)
        };
        match a.inflight.cmp(&b.inflight) {
            Ordering::Equal if slow(a, b) => false,
            Ordering::Equal if slow(b, a) => true,
            Ordering::Equal if lean && near(a) != near(b) => near(a),
            Ordering::Equal => a.health.last_used < b.health.last_used,
            order => order == Ordering::Less,
        }
    }

    /// The place in the pool of one in slow start that may be sent a call now, among the first so many.
    fn cold_with_token(
        &mut self,
        among: usize,
        start: usize,
        ask: &PickRequest<'_>,
    ) -> Option<usize> {
        (0..among).map(|k| (start + k) % among).find(|&k| {
            let i = self.subset.pools[ask.pool].members[k];
            self.slots[i].warmth(ask.settings, ask.now) < 1.0 && self.usable(i, ask)
        })
    }

    /// The less busy of two random usable upstreams; one in slow start that has a token is drawn first.
    pub(crate) fn pick(&mut self, ask: &PickRequest<'_>, rng: &mut Rng) -> Option<usize> {
        let (n, near) = (
            self.subset.pools[ask.pool].members.len(),
            self.subset.pools[ask.pool].near,
        );
        if n == 0 {
            return None;
        }
        let near = if near > 0 && self.left(self.subset.pools[ask.pool].members[0]) {
            0
        } else {
            near
        };
        let lean = near > 0 && unit(rng) < self.near.lean();
        let both = lean && unit(rng) < NEAR_BOTH;
        let mut best: Option<usize> = None;
        let start = below(rng, n);
        let cold = self.cold_with_token(if lean { near } else { n }, start, ask);
        for draw in 0..DRAWS + n {
            let drawn = if lean && (both || best.is_none()) {
                near
            } else {
                n
            };
            let k = if draw < DRAWS {
                below(rng, drawn)
            } else {
                (start + draw) % n
            };
            let i = self.subset.pools[ask.pool].members[cold.filter(|_| draw == 0).unwrap_or(k)];
            // Should the draws miss the few that will do, walk once round the list, up to the first: rare.
            let walked = draw >= DRAWS && best.is_some();
            let out = walked || (best == Some(i) && n > 1) || ask.avoid == Some(i);
            let (zone, allowed) = (self.slots[i].member.zone, ask.allows(&self.slots[i].member));
            if out || !allowed || !self.usable(i, ask) || !self.zones.stands(zone, ask, rng) {
                continue;
            }
            match best {
                Some(b) => {
                    return Some(if self.less_busy(i, b, ask.now, lean) {
                        i
                    } else {
                        b
                    })
                }
                None => best = Some(i),
            }
        }
        best
    }
}
