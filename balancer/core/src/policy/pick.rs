//! Picks an upstream for a call. Stateless.
use crate::{interface::*, state::*};
use std::cmp::Ordering;

/// Random draws before the pool is scanned in order.
const DRAWS: usize = 6;
/// Ratio of expected response times from which the faster of two upstreams with equal calls in flight is preferred.
const RESPONSE_TIME_RATIO: f64 = 1.25;
/// Of the calls that prefer the local zone, the fraction that draws both candidates there; the others draw one there.
const BOTH_LOCAL_FRACTION: f64 = 0.2;

/// How strongly a call prefers the local zone.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Preference {
    /// No preference.
    AnyZone,
    /// One of the two candidates is drawn from the local zone.
    OneLocal,
    /// Both candidates are drawn from the local zone.
    BothLocal,
}

impl Preference {
    fn prefers_local(self) -> bool {
        self != Preference::AnyZone
    }
}

impl Fleet {
    /// Whether to prefer `a` to `b`: by this instance's calls in flight. At equal numbers, which are frequent, the clearly
    /// faster one; else, if the call prefers the local zone, the local one; else the least recently used one.
    fn is_less_busy(&self, a: usize, b: usize, now: Millis, prefers_local: bool) -> bool {
        let (a, b) = (&self.slots[a], &self.slots[b]);
        let is_local = |upstream: &Upstream| self.locality.is_local(upstream.endpoint.zone);
        let expected = |upstream| self.response_times.expected_relative(upstream, now);
        let is_slower = |one, other| {
            let times = expected(one).zip(expected(other));
            times.is_some_and(|(one, other)| one > RESPONSE_TIME_RATIO * other)
        };
        match a.in_flight.cmp(&b.in_flight) {
            Ordering::Equal if is_slower(a, b) => false,
            Ordering::Equal if is_slower(b, a) => true,
            Ordering::Equal if prefers_local && is_local(a) != is_local(b) => is_local(a),
            Ordering::Equal => a.health.last_used < b.health.last_used,
            order => order == Ordering::Less,
        }
    }

    /// Index of an upstream in slow start that may be sent a call now, among the first `prefix` members of the pool.
    fn warming_up_with_token(
        &mut self,
        prefix: usize,
        start: usize,
        request: &PickRequest<'_>,
    ) -> Option<usize> {
        (0..prefix)
            .map(|offset| (start + offset) % prefix)
            .find(|&position| {
                let slot = self.subset.pools[request.class].members[position];
                self.slots[slot].is_warming_up(request.settings, request.now)
                    && self.is_usable(slot, request)
            })
    }

    /// Number of local members, which come first in a pool; zero while the local zone is ejected.
    fn usable_local(&self, class: usize) -> usize {
        let pool = &self.subset.pools[class];
        if pool.local > 0 && self.is_in_ejected_zone(pool.members[0]) {
            0
        } else {
            pool.local
        }
    }

    /// Randomly decides whether the call prefers the local zone.
    fn draw_preference(&self, local: usize, rng: &mut Rng) -> Preference {
        if local == 0 || random_unit(rng) >= self.locality.local_fraction() {
            Preference::AnyZone
        } else if random_unit(rng) < BOTH_LOCAL_FRACTION {
            Preference::BothLocal
        } else {
            Preference::OneLocal
        }
    }

    /// Picks the less busy of two random usable upstreams; one in slow start that has a token is considered first.
    pub(crate) fn pick(&mut self, request: &PickRequest<'_>, rng: &mut Rng) -> Option<usize> {
        let size = self.subset.pools[request.class].members.len();
        if size == 0 {
            return None;
        }
        let local = self.usable_local(request.class);
        let preference = self.draw_preference(local, rng);
        let prefers_local = preference.prefers_local();
        let start = random_below(rng, size);
        let prefix = if prefers_local { local } else { size };
        let warming_up = self.warming_up_with_token(prefix, start, request);
        let mut best: Option<usize> = None;
        for draw in 0..DRAWS + size {
            let draws_local = match preference {
                Preference::AnyZone => false,
                Preference::OneLocal => best.is_none(),
                Preference::BothLocal => true,
            };
            let drawn = if draw < DRAWS {
                random_below(rng, if draws_local { local } else { size })
            } else {
                (start + draw) % size
            };
            let position = warming_up.filter(|_| draw == 0).unwrap_or(drawn);
            let slot = self.subset.pools[request.class].members[position];
            // If random draws find no candidate, scan the pool until the first one. This is rare.
            let walked = draw >= DRAWS && best.is_some();
            let is_repeated = best == Some(slot) && size > 1;
            if walked || is_repeated || !self.is_candidate(slot, request, rng) {
                continue;
            }
            match best {
                None => best = Some(slot),
                Some(best) if self.is_less_busy(slot, best, request.now, prefers_local) => {
                    return Some(slot);
                }
                Some(best) => return Some(best),
            }
        }
        best
    }

    /// Whether a drawn upstream may be used. This can count as a trial call to its zone.
    fn is_candidate(&mut self, slot: usize, request: &PickRequest<'_>, rng: &mut Rng) -> bool {
        let endpoint = &self.slots[slot].endpoint;
        let zone = endpoint.zone;
        request.avoid != Some(slot)
            && request.allows(endpoint)
            && self.is_usable(slot, request)
            && self.zones.accepts_draw(zone, request, rng)
    }
}
