//! Decides which zones are ejected as a whole because they do not respond, and how they return by degrees.
use super::{capacity::CYCLE_DECAY, limits::CYCLE};
use crate::{interface::*, state::*};

/// A zone is ejected that owes so many response times.
const EJECTION_OVERDUE: f64 = 6.0;
/// Each call counts up to this much; each broken upstream counts one.
const MAX_OVERDUE_PER_CALL: f64 = 4.0;
/// It is tried this often, times one more than it was ejected of late.
const TRIAL_INTERVAL: Millis = 500.0;
/// It returns from this part of its draws, doubling.
const FIRST_RETURN: f64 = 0.125;

impl Zones {
    /// Records how a call to an upstream ended.
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

    /// Counts a call in flight, up to the last response from anywhere: where none comes, all would be ejected.
    pub(crate) fn count_in_flight(&mut self, zone: u16, sent_at: Millis, expected: Millis) {
        let zone = self.by_zone.entry(zone).or_default();
        let waited = self.last_response - sent_at.max(zone.last_response);
        zone.overdue += (waited / expected - 1.0).clamp(0.0, MAX_OVERDUE_PER_CALL);
    }

    /// Ejects zones that owe too much. Returns whether there were any.
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

    /// Lets zones that respond return by degrees, each the slower the more often they were ejected of late.
    pub(crate) fn return_by_degrees(&mut self, now: Millis, actions: &mut Actions) {
        for (&number, zone) in &mut self.by_zone {
            let before = zone.diverted;
            zone.step_return(now);
            if zone.diverted != before {
                actions.push(zone.report_return(number));
            }
        }
    }

    /// Whether an upstream of a zone that is ejected or returning may be drawn now.
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
        let pauses = request.tier.trial_pauses(subject, request.settings, now);
        let multiple = if zone.trials == 0 {
            pauses.first
        } else {
            pauses.repeated
        };
        let pause = TRIAL_INTERVAL * (1.0 + zone.ejections) * multiple;
        let responds = zone.last_response > zone.changed_at;
        let is_trial = request.harmless && !responds && now - zone.last_trial > pause;
        if is_trial {
            zone.last_trial = now;
            zone.trials += 1;
        }
        is_trial || request.last_resort || random_unit(rng) >= zone.diverted
    }
}

impl Zone {
    /// Moves one step between ejected and returned, once a cycle.
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
                self.diverted = 1.0 - (part / 2.0).max(FIRST_RETURN);
            }
            self.changed_at = now;
            return;
        }
        let waited = now - self.changed_at > self.ejections * CYCLE;
        if self.last_response > self.changed_at && (is_ejected || waited) {
            self.diverted = 1.0 - (2.0 * part).clamp(FIRST_RETURN, 1.0);
            self.changed_at = now;
        }
    }
}
