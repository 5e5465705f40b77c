//! Attempts of a request: whether to make one, at which upstream and with which timeout, and the final response if
//! none succeeds. Stateless.
use super::{idle_connections::NextConnection, limits::CYCLE, response_times::TIMEOUT_DEVIATIONS};
use crate::{interface::*, state::*};

/// Attempts time out early only if the upstream's failure rate exceeds this, or the loss rate of connections that were
/// idle as long exceeds a quarter of it.
const SUSPECT_FAILURE_RATE: f64 = 0.2;
/// A higher failure rate over all upstreams means that the whole tier, or one downstream of it, is failing.
const TIER_FAILURE_RATE: f64 = 0.5;
/// Fraction of the slow-start budget that is used; the rest absorbs random variation and expensive calls.
const SLOW_START_BUDGET_FRACTION: f64 = 0.5;

/// Constraints on an attempt after an earlier one that may have run.
struct RetryConstraints {
    /// Upstreams that discard a duplicate.
    dedup: Option<DedupDomain>,
    /// Latest time at which the attempt may be written; infinite if unbounded.
    write_by: Millis,
}

impl Balancer {
    /// Sends an attempt if allowed and an upstream is available. Returns whether it was sent.
    pub(super) fn send(&mut self, now: Millis, id: RequestId, actions: &mut Actions) -> bool {
        let Some(pending) = self.pending.get(&id) else {
            return false;
        };
        let Some(constraints) = self.retry_constraints(pending) else {
            return false;
        };
        let too_late = now >= pending.deadline.min(constraints.write_by);
        if pending.attempts >= self.settings.max_attempts || too_late {
            return false;
        }
        let Some(slot) = self.pick_slot(now, id, constraints.dedup) else {
            return false;
        };
        self.start_attempt(now, id, slot, constraints.write_by, actions);
        true
    }

    /// Constraints on the next attempt; `None` if it is not allowed.
    fn retry_constraints(&self, pending: &Pending) -> Option<RetryConstraints> {
        let unconstrained = RetryConstraints {
            dedup: None,
            write_by: f64::INFINITY,
        };
        let Some(run) = pending.first_run else {
            return Some(unconstrained);
        };
        match self.settings.classes[pending.class].effect {
            Effect::Free => Some(unconstrained),
            Effect::SingleShot => None,
            Effect::Guarded { scope, window } => Some(RetryConstraints {
                dedup: Some(DedupDomain {
                    scope,
                    zone: run.zone,
                    group: run.group,
                }),
                write_by: run.sent_at + window,
            }),
        }
    }

    /// Picks an upstream for a pending request; excluded upstreams are used as a last resort.
    fn pick_slot(
        &mut self,
        now: Millis,
        id: RequestId,
        dedup: Option<DedupDomain>,
    ) -> Option<usize> {
        let pending = self.pending.get(&id)?;
        let settings = &self.settings;
        let carried = self.capacity.carried(self.admission.total_demand());
        let carried_per_upstream = carried / CYCLE * self.fleet.subset.load_per_member;
        let is_first = pending.attempts == 0;
        let has_time = now + 3.0 * self.fleet.response_times.mean < pending.deadline;
        let request = PickRequest {
            settings,
            tier: &self.tier,
            now,
            class: pending.class,
            slow_start_rate: carried_per_upstream
                * SLOW_START_BUDGET_FRACTION
                * settings.overload_multiple,
            avoid: pending.last_slot,
            may_test_zone: is_first
                && settings.classes[pending.class].effect.harmless()
                && has_time,
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

    /// Records an attempt and emits its send action.
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

    /// Timeout of an attempt. It is the deadline, as slow calls may be expensive ones, unless responses were lost recently
    /// and a retry is allowed.
    fn timeout(&self, pending: &Pending, slot: usize, idle_step: usize, now: Millis) -> Millis {
        let fleet = &self.fleet;
        let upstream = &fleet.slots[slot];
        let class = &self.settings.classes[pending.class];
        let suspect = upstream.health.failure_rate > SUSPECT_FAILURE_RATE
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

    /// Whether the retry budget allows a retry, and the tier is not failing as a whole.
    pub(super) fn may_retry(&self, now: Millis) -> bool {
        let accepts = self.fleet.failure_rate <= TIER_FAILURE_RATE;
        self.retry_budget >= 1.0 && (accepts || self.tier.sums(now).is_none())
    }

    /// Gives the final response: a refusal if a retry by the client is known to be safe, else a failure.
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

    /// A refusal with a suggested retry delay.
    pub(super) fn refusal(&mut self, request: RequestId, reason: Refusal, now: Millis) -> Action {
        // About one cycle, with jitter so that clients do not retry at the same time.
        let jitter = 0.5 + random_unit(&mut self.rng);
        let max = self.settings.max_retry_after;
        let retry_after = match self.tier.sums(now) {
            // Excess demand is spread over as many cycles as the ratio of demand to capacity.
            Some(sums) => jitter * (CYCLE * sums.load.demand_ratio().max(1.0)).min(max / 1.5),
            None => (CYCLE * jitter).min(max),
        };
        Action::Refuse {
            request,
            retry_after,
            reason,
        }
    }
}
