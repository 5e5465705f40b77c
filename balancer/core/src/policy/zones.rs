//! Ejects unresponsive zones as a whole, and gradually returns traffic to them.
use super::{capacity::CYCLE_DECAY, limits::CYCLE};
use crate::{interface::*, state::*};

/// A zone is ejected if its calls in flight are overdue by this many expected response times in total.
const EJECTION_OVERDUE: f64 = 6.0;
/// Maximum contribution of each call; each broken upstream contributes one.
const MAX_OVERDUE_PER_CALL: f64 = 4.0;
/// Base interval between trials of an ejected zone; multiplied by one plus the number of recent ejections.
const TRIAL_INTERVAL: Millis = 500.0;
/// Initial fraction of its draws that a returning zone accepts; doubles in each step.
const INITIAL_RETURN_FRACTION: f64 = 0.125;

impl Zones {
    /// Records the outcome of a call to an upstream.
    pub(crate) fn on_call_end(
        &mut self,
        upstream: &mut Upstream,
        ending: Ending,
        overdue_after: Millis,
        now: Millis,
    ) {
        let any_responds = now - self.last_response < overdue_after;
        let zone = self.by_zone.entry(upstream.endpoint.zone).or_default();
        match ending {
            Ending::Ok | Ending::Error | Ending::Rejected => {
                zone.last_response = now;
                zone.broken_upstreams = 0.0;
                self.last_response = now;
            }
            Ending::Cancelled | Ending::NotSent | Ending::Unknown => {}
            Ending::Timeout | Ending::ConnectFailed | Ending::Reset => {
                if any_responds {
                    if upstream.broken_at <= zone.last_response {
                        zone.broken_upstreams += 1.0;
                    }
                    upstream.broken_at = now;
                }
            }
        }
    }

    /// Adds the overdue time of a call in flight, measured until the last response from any zone, so that no zone is
    /// ejected if none responds.
    pub(crate) fn count_in_flight(&mut self, zone: u16, sent_at: Millis, expected: Millis) {
        let zone = self.by_zone.entry(zone).or_default();
        let waited = self.last_response - sent_at.max(zone.last_response);
        zone.overdue += (waited / expected - 1.0).clamp(0.0, MAX_OVERDUE_PER_CALL);
    }

    /// Ejects unresponsive zones. Returns whether there were any.
    pub(crate) fn eject_unresponsive(
        &mut self,
        tier: &Tier,
        now: Millis,
        actions: &mut Actions,
    ) -> bool {
        let mut ejected_any = false;
        for (&number, zone) in &mut self.by_zone {
            let bound = if tier.corroborates(Subject::Zone(number), now) {
                EJECTION_OVERDUE / 2.0
            } else {
                EJECTION_OVERDUE
            };
            let others_respond = zone.last_response < self.last_response;
            if zone.diverted < 1.0 && zone.overdue > bound && others_respond {
                zone.eject(now);
                actions.push(zone.report_ejection(number, now));
                ejected_any = true;
            }
        }
        ejected_any
    }

    /// Gradually returns traffic to zones that respond; more slowly for zones that were ejected more often recently.
    pub(crate) fn return_gradually(&mut self, now: Millis, actions: &mut Actions) {
        for (&number, zone) in &mut self.by_zone {
            let before = zone.diverted;
            zone.step_return(now);
            if zone.diverted != before {
                actions.push(zone.report_return(number));
            }
        }
    }

    /// Whether a draw of an upstream in this zone is accepted; always true unless the zone is ejected or returning.
    pub(crate) fn accepts_draw(
        &mut self,
        number: u16,
        request: &PickRequest<'_>,
        rng: &mut Rng,
    ) -> bool {
        let Some(zone) = self.by_zone.get_mut(&number) else {
            return true;
        };
        if zone.diverted <= 0.0 {
            return true;
        }
        let now = request.now;
        let subject = Subject::Zone(number);
        let factors = request
            .tier
            .trial_interval_factors(subject, request.settings, now);
        let multiple = if zone.trials == 0 {
            factors.first
        } else {
            factors.subsequent
        };
        let interval = TRIAL_INTERVAL * (1.0 + zone.ejections) * multiple;
        let responds = zone.last_response > zone.changed_at;
        let is_trial = request.may_test_zone && !responds && now - zone.last_trial > interval;
        if is_trial {
            zone.last_trial = now;
            zone.trials += 1;
        }
        is_trial || request.last_resort || random_unit(rng) >= zone.diverted
    }
}

impl Zone {
    /// Adjusts the diverted fraction by one step; called once per cycle.
    fn step_return(&mut self, now: Millis) {
        if self.diverted == 0.0 {
            self.ejections *= CYCLE_DECAY;
            return;
        }
        let part = 1.0 - self.diverted;
        let is_ejected = self.diverted >= 1.0;
        let fails = self.broken_upstreams >= 1.0 || self.overdue > EJECTION_OVERDUE / 2.0;
        if fails {
            if !is_ejected {
                self.diverted = 1.0 - (part / 2.0).max(INITIAL_RETURN_FRACTION);
            }
            self.changed_at = now;
            return;
        }
        let waited = now - self.changed_at > self.ejections * CYCLE;
        if self.last_response > self.changed_at && (is_ejected || waited) {
            self.diverted = 1.0 - (2.0 * part).clamp(INITIAL_RETURN_FRACTION, 1.0);
            self.changed_at = now;
        }
    }
}
