//! Handles overdue calls in flight. Stateless.
use super::{capacity::lateness, limits::CYCLE};
use crate::{interface::*, state::*};

/// The attempt in flight of a request, if the client still waits for it.
fn awaited_attempt(pending: &Pending) -> Option<&InFlightAttempt> {
    pending.in_flight.as_ref().filter(|_| !pending.abandoned)
}

impl Balancer {
    /// Counts the lost calls in flight, which are not charged against the bound on calls in flight.
    pub(super) fn count_lost(&mut self, now: Millis) {
        let lost = self
            .pending
            .values()
            .filter_map(awaited_attempt)
            .filter(|attempt| self.fleet.is_lost(attempt, now));
        self.admission.in_flight_lost = lost.count() as f64;
    }

    /// Records the lateness of calls in flight before their responses arrive. The first responses to arrive are the fast
    /// ones, so responses alone would show a slowdown late.
    pub(super) fn record_overdue_calls(&mut self, now: Millis) {
        for pending in self.pending.values() {
            let Some(attempt) = awaited_attempt(pending) else {
                continue;
            };
            let elapsed = now - attempt.sent_at;
            let overdue = elapsed - self.fleet.response_times.overdue_after();
            if (0.0..CYCLE).contains(&overdue) {
                self.fleet
                    .idle_connections
                    .record_call(attempt.idle_step, true);
            }
            let lateness = lateness(elapsed / self.settings.classes[pending.class].objective);
            let excluded =
                self.fleet.is_lost(attempt, now) || self.fleet.is_unresponsive(attempt.slot, now);
            if lateness > 0.0 && !excluded {
                self.capacity.record_lateness(lateness);
            }
        }
        self.count_lost(now);
    }

    /// Ejects unresponsive zones, by the calls to all their upstreams. Calls in flight to an ejected zone are cancelled if
    /// they may be retried.
    pub(super) fn check_zones(&mut self, now: Millis, actions: &mut Actions) {
        self.count_overdue_by_zone(now);
        let ejected_any = self
            .fleet
            .zones
            .eject_unresponsive(&self.tier, now, actions);
        if !ejected_any {
            return;
        }
        self.rescale_capacity(now);
        if self.settings.cancel {
            self.cancel_in_ejected_zones(now, actions);
        }
        self.count_lost(now);
    }

    fn count_overdue_by_zone(&mut self, now: Millis) {
        let fleet = &mut self.fleet;
        let locality = &fleet.locality;
        let slowness = locality
            .local
            .slowness
            .max(locality.remote.slowness)
            .max(1.0);
        fleet.zones.restart_overdue();
        for pending in self.pending.values() {
            let Some(attempt) = awaited_attempt(pending) else {
                continue;
            };
            let upstream = &fleet.slots[attempt.slot];
            let objective = self.settings.classes[pending.class].objective;
            let expected = fleet.response_times.expected(upstream, objective, now);
            let zone = upstream.endpoint.zone;
            fleet
                .zones
                .count_in_flight(zone, attempt.sent_at, expected.max(1.0) * slowness);
        }
    }

    fn cancel_in_ejected_zones(&mut self, now: Millis, actions: &mut Actions) {
        for (&request, pending) in &self.pending {
            let Some(attempt) = awaited_attempt(pending) else {
                continue;
            };
            let effect = self.settings.classes[pending.class].effect;
            let may_retry = effect.harmless() && pending.attempts < self.settings.max_attempts;
            let has_time = now + self.fleet.response_times.mean < pending.deadline;
            if self.fleet.is_in_ejected_zone(attempt.slot) && may_retry && has_time {
                // Allow one retry for each cancelled call, in addition to the regular budget.
                self.retry_budget += 1.0;
                actions.push(Action::Cancel {
                    request,
                    attempt: attempt.number,
                });
            }
        }
    }
}
