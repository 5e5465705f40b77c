//! Decides whether a request gets an attempt, where to, for how long, and its final response. Owns no state.
use super::{idle_connections::NextConnection, limits::CYCLE, response_times::TIMEOUT_DEVIATIONS};
use crate::{interface::*, state::*};

/// An attempt is given up early only where failures exceed this, or a quarter of it on connections idle as long.
const SUSPECT_FAILURE_RATE: f64 = 0.2;
/// Where more than this part of all attempts fails, a tier declines as a whole, or what is behind it does.
const DECLINING_FAILURE_RATE: f64 = 0.5;
/// Part of the slow-start budget that is used; the rest absorbs chance and calls heavier than average.
const SLOW_START_PART: f64 = 0.5;

/// What an attempt must keep to because an earlier one may have run.
struct RepeatRule {
    /// Where a repeat is discarded.
    dedup: Option<DedupDomain>,
    /// When the attempt must have been written; infinite: no such bound.
    write_by: Millis,
}

impl Balancer {
    /// Sends an attempt if an upstream can be found and every rule allows it. Returns whether it did.
    pub(super) fn send(&mut self, now: Millis, id: RequestId, actions: &mut Actions) -> bool {
        let Some(pending) = self.pending.get(&id) else {
            return false;
        };
        let Some(rule) = self.repeat_rule(pending) else {
            return false;
        };
        let too_late = now >= pending.deadline.min(rule.write_by);
        if pending.attempts >= self.settings.max_attempts || too_late {
            return false;
        }
        let Some(slot) = self.pick_slot(now, id, rule.dedup) else {
            return false;
        };
        self.start_attempt(now, id, slot, rule.write_by, actions);
        true
    }

    /// What a further attempt must keep to; none: there must not be one.
    fn repeat_rule(&self, pending: &Pending) -> Option<RepeatRule> {
        let unbound = RepeatRule {
            dedup: None,
            write_by: f64::INFINITY,
        };
        let Some(run) = pending.first_run else {
            return Some(unbound);
        };
        match self.settings.classes[pending.class].effect {
            Effect::Free => Some(unbound),
            Effect::SingleShot => None,
            Effect::Guarded { scope, window } => Some(RepeatRule {
                dedup: Some(DedupDomain {
                    scope,
                    zone: run.zone,
                    group: run.group,
                }),
                write_by: run.sent_at + window,
            }),
        }
    }

    /// Picks an upstream for a pending request, as a last resort one that should be left alone.
    fn pick_slot(
        &mut self,
        now: Millis,
        id: RequestId,
        dedup: Option<DedupDomain>,
    ) -> Option<usize> {
        let pending = self.pending.get(&id)?;
        let settings = &self.settings;
        let carried = self.capacity.carried(self.admission.total_demand());
        let carried_by_one = carried / CYCLE * self.fleet.subset.load_per_member;
        let is_first = pending.attempts == 0;
        let has_time = now + 3.0 * self.fleet.response_times.mean < pending.deadline;
        let request = PickRequest {
            settings,
            tier: &self.tier,
            now,
            class: pending.class,
            slow_start_rate: carried_by_one * SLOW_START_PART * settings.overload_multiple,
            avoid: pending.last_slot,
            harmless: is_first && settings.classes[pending.class].effect.harmless() && has_time,
            last_resort: false,
            dedup,
        };
        let last_resort = PickRequest {
            avoid: None,
            last_resort: true,
            ..request
        };
        self.fleet
            .pick(&request, &mut self.rng)
            .or_else(|| self.fleet.pick(&last_resort, &mut self.rng))
    }

    /// Records and sends an attempt.
    fn start_attempt(
        &mut self,
        now: Millis,
        id: RequestId,
        slot: usize,
        write_by: Millis,
        actions: &mut Actions,
    ) {
        let upstream = &mut self.fleet.slots[slot];
        let idle_connections = &self.fleet.idle_connections;
        let next = idle_connections.next(upstream, &self.settings, now, &mut self.rng);
        let idle_step = match next {
            NextConnection::Open { idle_step } => idle_step,
            NextConnection::CloseIdleFirst => {
                actions.push(Action::CloseIdle(upstream.endpoint.id));
                0
            }
        };
        upstream.on_call_start(idle_step, now);
        self.admission.in_flight += 1.0;
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let kind = if pending.attempts == 0 {
            AttemptKind::First
        } else {
            AttemptKind::Retry
        };
        self.meter.on_attempt_start(pending.tenant, kind, now);
        let timeout = self.timeout(pending, slot, idle_step, now);
        let endpoint = &self.fleet.slots[slot].endpoint;
        actions.push(Action::Send {
            request: id,
            upstream: endpoint.id,
            timeout,
            write_by,
        });
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.first_run.get_or_insert(PossibleRun {
                attempt: pending.attempts,
                sent_at: now,
                zone: endpoint.zone,
                group: endpoint.group,
            });
            pending.in_flight = Some(InFlightAttempt {
                number: pending.attempts,
                slot,
                sent_at: now,
                idle_step,
            });
            pending.attempts += 1;
            pending.last_slot = Some(slot);
        }
    }

    /// A call without a response, as of heavy work, is waited for until the deadline, but where responses got lost of
    /// late and a repeat is legal.
    fn timeout(&self, pending: &Pending, slot: usize, idle_step: usize, now: Millis) -> Millis {
        let fleet = &self.fleet;
        let upstream = &fleet.slots[slot];
        let class = &self.settings.classes[pending.class];
        let suspect = upstream.health.fails > SUSPECT_FAILURE_RATE
            || fleet.idle_connections.loss_rates[idle_step] > SUSPECT_FAILURE_RATE / 4.0
            || fleet.is_in_ejected_zone(slot);
        let may_repeat = pending.attempts + 1 < self.settings.max_attempts
            && self.may_retry(now)
            && class.effect != Effect::SingleShot;
        let times = &fleet.response_times;
        let expected = times.expected(upstream, class.objective, now);
        let margin = (TIMEOUT_DEVIATIONS * times.deviation).max(times.mean);
        let early = expected.clamp(times.mean, 3.0 * times.mean) + margin;
        if suspect && may_repeat && now + early + times.mean < pending.deadline {
            early
        } else {
            pending.deadline - now
        }
    }

    /// Whether a retry is within what this instance may make, and no tier that declines is sent it.
    pub(super) fn may_retry(&self, now: Millis) -> bool {
        let accepts = self.fleet.failure_rate <= DECLINING_FAILURE_RATE;
        self.retry_budget >= 1.0 && (accepts || self.tier.sums(now).is_none())
    }

    /// Gives the one final response: a refusal where a retry is known to do no harm, else a failure.
    pub(super) fn give_up(&mut self, id: RequestId, now: Millis, actions: &mut Actions) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let reason = if pending.attempts > 0 {
            Refusal::GivenUp
        } else {
            Refusal::NoUpstream
        };
        let effect = self.settings.classes[pending.class].effect;
        actions.push(if pending.first_run.is_none() || effect.harmless() {
            self.refusal(id, reason, now)
        } else {
            Action::Fail { request: id }
        });
    }

    /// A refusal, with advice on when to return.
    pub(super) fn refusal(&mut self, request: RequestId, reason: Refusal, now: Millis) -> Action {
        // Until the next cycle has begun, with jitter, so that those who heed it do not return together.
        let jitter = 0.5 + random_unit(&mut self.rng);
        let max = self.settings.max_retry_after;
        let retry_after = match self.tier.sums(now) {
            // What exceeds a tier's capacity returns evenly over as many cycles as the demand is times too much.
            Some(sums) => jitter * (CYCLE * sums.load.pressure().max(1.0)).min(max / 1.5),
            None => (CYCLE * jitter).min(max),
        };
        Action::Refuse {
            request,
            retry_after,
            reason,
        }
    }
}
