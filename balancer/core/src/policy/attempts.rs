//! Decides whether a request gets an attempt, where to, for how long, and its final answer. Owns no state.
use super::{answers::TIMEOUT_DEVIATIONS, limits::CYCLE};
use crate::{interface::*, state::*};

/// It is given up only where failures exceed this, or a quarter of it on connections that rested as long.
const SUSPECT_AT: f64 = 0.2;
/// Where more than this part of all attempts fails, a tier declines as a whole, or what is behind it does.
const DECLINES_AT: f64 = 0.5;
/// Part of the slow-start budget that is used; the rest absorbs chance and calls heavier than average.
const SLOW_START_PART: f64 = 0.5;

impl Balancer {
    /// Sends an attempt if a place can be found and every rule allows it.
    pub(super) fn send(&mut self, now: Millis, id: RequestId, actions: &mut Actions) -> bool {
        let s = &self.settings;
        let Some(p) = self.pending.get(&id) else {
            return false;
        };
        let (scope, write_by) = match (p.ran, s.classes[p.class].effect) {
            (None, _) | (_, Effect::Free) => (None, f64::INFINITY),
            (Some(_), Effect::SingleShot) => return false,
            (Some((_, sent, zone, group)), Effect::Guarded { scope, window }) => {
                (Some((scope, zone, group)), sent + window)
            }
        };
        if p.sends >= s.max_attempts || now >= p.ends.min(write_by) {
            return false;
        }
        let asked = self.admission.tenants.iter().map(|t| t.demand).sum();
        let each = self.capacity.carried(asked) / CYCLE * self.fleet.subset.each;
        let cold_rate = each * SLOW_START_PART * s.overload_multiple;
        let harmless = p.sends == 0 && s.classes[p.class].effect.harmless();
        let harmless = harmless && now + 3.0 * self.fleet.answers.latency < p.ends;
        let (tier, pool, avoid, desperate) = (&self.tier, p.class, p.last, false);
        let ask = PickRequest {
            settings: s,
            tier,
            now,
            pool,
            cold_rate,
            avoid,
            harmless,
            desperate,
            scope,
        };
        let last_resort = PickRequest {
            avoid: None,
            desperate: true,
            ..ask
        };
        let picked = self.fleet.pick(&ask, &mut self.rng);
        let Some(i) = picked.or_else(|| self.fleet.pick(&last_resort, &mut self.rng)) else {
            return false;
        };
        let (mut rest, close) = self
            .fleet
            .rested
            .rest(&self.fleet.slots[i], s, now, &mut self.rng);
        if close {
            actions.push(Action::CloseIdle(self.fleet.slots[i].member.id));
            rest = 0;
        }
        self.fleet.slots[i].sent(rest, now);
        self.admission.inflight += 1.0;
        self.meter.sent(p.tenant, p.sends == 0, now);
        let member = &self.fleet.slots[i].member;
        let timeout = self.timeout(p, i, rest, now);
        actions.push(Action::Send {
            request: id,
            upstream: member.id,
            timeout,
            write_by,
        });
        let (zone, group) = (member.zone, member.group);
        if let Some(p) = self.pending.get_mut(&id) {
            p.ran.get_or_insert((p.sends, now, zone, group));
            p.out = Some((p.sends, i, now, rest));
            p.sends += 1;
            p.last = Some(i);
        }
        true
    }

    /// Silence, as of heavy work, is waited out but where answers got lost of late and a repeat is legal.
    fn timeout(&self, p: &Pending, i: usize, rest: usize, now: Millis) -> Millis {
        let (f, u) = (&self.fleet, &self.fleet.slots[i]);
        let suspect =
            u.health.fails > SUSPECT_AT || f.rested.lost[rest] > SUSPECT_AT / 4.0 || f.left(i);
        let again = p.sends + 1 < self.settings.max_attempts && self.may_repeat(now);
        let repeats = again && self.settings.classes[p.class].effect != Effect::SingleShot;
        let (latency, objective) = (f.answers.latency, self.settings.classes[p.class].objective);
        let usual = f
            .answers
            .usual(u, now)
            .map_or(latency, |part| part * objective);
        let wait = (TIMEOUT_DEVIATIONS * f.answers.deviation).max(latency);
        let patience = usual.clamp(latency, 3.0 * latency) + wait;
        let early = (suspect && repeats && now + patience + latency < p.ends).then_some(patience);
        early.unwrap_or(p.ends - now)
    }

    /// Whether a further attempt is within what this copy may make, and no tier that declines is sent it.
    pub(super) fn may_repeat(&self, now: Millis) -> bool {
        self.retries >= 1.0 && (self.fleet.fails <= DECLINES_AT || self.tier.sums(now).is_none())
    }

    /// Gives the one final answer: a refusal where another try is known to do no harm, else a failure.
    pub(super) fn give_up(&mut self, id: RequestId, now: Millis, actions: &mut Actions) {
        let Some(p) = self.pending.remove(&id) else {
            return;
        };
        let reason = if p.sends > 0 {
            Refusal::GivenUp
        } else {
            Refusal::NoUpstream
        };
        let harmless = p.ran.is_none() || self.settings.classes[p.class].effect.harmless();
        actions.push(if harmless {
            self.refusal(id, reason, now)
        } else {
            Action::Fail { request: id }
        });
    }

    pub(super) fn refusal(&mut self, request: RequestId, reason: Refusal, now: Millis) -> Action {
        // Until the next cycle has begun, with jitter, so that those who heed it do not return together.
        let (spread, most) = (0.5 + unit(&mut self.rng), self.settings.max_retry_after);
        // What a tier has no room for comes back evenly over as many cycles as it was asked for too much.
        let paced = |s: &TierSums| spread * (CYCLE * s.load.pressure().max(1.0)).min(most / 1.5);
        let retry_after = self
            .tier
            .sums(now)
            .map_or((CYCLE * spread).min(most), paced);
        Action::Refuse {
            request,
            retry_after,
            reason,
        }
    }
}
