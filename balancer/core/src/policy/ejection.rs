//! Outlier ejection: which upstreams are ejected and for how long, by the outcomes of their calls.
use super::tier::UPDATE_VALID_FOR;
use crate::{interface::*, state::*};

/// Smoothing factor of an upstream's failure rate, per outcome.
const FAILURE_GAIN: f64 = 0.25;
/// Smoothing factor of the failure rate over all upstreams, per outcome.
const FLEET_FAILURE_GAIN: f64 = 0.02;
/// Failure rate above which an upstream is ejected, if it also exceeds `EJECTION_RATIO`.
const EJECTION_FAILURE_RATE: f64 = 0.4;
/// Multiple of the failure rate over all upstreams above which an upstream is an outlier.
const EJECTION_RATIO: f64 = 2.0;
/// Maximum fraction of upstreams, but at least one, that may be ejected unless they hang: other failures may come from
/// elsewhere, and more ejections would overload the remaining upstreams.
const MAX_EJECTED_FRACTION: f64 = 1.0 / 3.0;
/// Minimum number of outcomes to eject an upstream.
const MIN_OUTCOMES: u32 = 3;
/// Duration of the first ejection; each consecutive one is longer by this.
const BASE_EJECTION: Millis = 2000.0;
pub(super) const MAX_EJECTION: Millis = 16_000.0;
/// An upstream with calls in flight is unresponsive after this many mean response times without a response.
const UNRESPONSIVE_FACTOR: f64 = 6.0;
const MIN_UNRESPONSIVE: Millis = 300.0;
/// Smoothing factor of an upstream's relative response time.
const SLOWNESS_GAIN: f64 = 0.2;

/// A completed call.
pub(super) struct CallEnd {
    /// Slot of its upstream.
    pub slot: usize,
    /// How long its connection may have been idle, in steps.
    pub idle_step: usize,
    pub ending: Ending,
    pub duration: Millis,
    /// Duration as a fraction of the class's objective.
    pub relative: f64,
}

impl CallEnd {
    /// Whether the call may have been received but got no response.
    fn is_lost(&self) -> bool {
        matches!(self.ending, Ending::Timeout | Ending::Reset)
    }

    /// Whether the call ended before a response was possible.
    fn is_aborted(&self) -> bool {
        matches!(self.ending, Ending::Cancelled | Ending::ConnectFailed)
    }
}

impl Fleet {
    /// Whether the upstream's zone is ejected.
    pub(crate) fn is_in_ejected_zone(&self, slot: usize) -> bool {
        self.zones.is_ejected(self.slots[slot].endpoint.zone)
    }

    /// Whether a call in flight counts as lost before its timeout expires.
    pub(crate) fn is_lost(&self, attempt: &InFlightAttempt, now: Millis) -> bool {
        let overdue = now - attempt.sent_at >= self.response_times.overdue_after();
        self.is_in_ejected_zone(attempt.slot)
            || (overdue && self.idle_connections.are_dropped(attempt.idle_step))
    }

    /// Whether an upstream with calls in flight has not responded for much longer than the mean response time.
    pub(crate) fn is_unresponsive(&self, slot: usize, now: Millis) -> bool {
        let upstream = &self.slots[slot];
        let bound = (UNRESPONSIVE_FACTOR * self.response_times.mean).max(MIN_UNRESPONSIVE);
        upstream.in_flight > 0 && now - upstream.unanswered_since > bound
    }

    /// Records the outcome of a call and ejects its upstream if needed. Returns whether the upstream is at fault.
    pub(super) fn on_call_end(
        &mut self,
        call: &CallEnd,
        now: Millis,
        tier: &Tier,
        rng: &mut Rng,
    ) -> bool {
        let overdue_after = self.response_times.overdue_after();
        let upstream = &mut self.slots[call.slot];
        self.zones
            .on_call_end(upstream, call.ending, overdue_after, now);
        let hung = call.ending == Ending::Timeout && self.is_unresponsive(call.slot, now);
        if !call.is_aborted() && call.ending != Ending::NotSent {
            self.idle_connections
                .record_call(call.idle_step, call.is_lost());
        }
        let may_eject = hung || self.ejected(now) < self.max_ejected();
        let upstream = &mut self.slots[call.slot];
        let connection = if call.is_lost() || call.is_aborted() {
            ConnectionFate::Closed
        } else {
            ConnectionFate::Reusable
        };
        upstream.on_call_end(connection, now);
        if matches!(call.ending, Ending::Cancelled | Ending::NotSent) {
            return false;
        }
        if call.ending != Ending::Timeout {
            upstream.unanswered_since = now;
        }
        self.record_slowness(call);
        self.record_result(call, hung, may_eject, now, tier, rng)
    }

    /// Number of upstreams currently ejected.
    fn ejected(&self, now: Millis) -> usize {
        self.by_id
            .values()
            .filter(|&&slot| now < self.slots[slot].health.ejected_until)
            .count()
    }

    /// Maximum number of ejected upstreams for failures other than hanging.
    fn max_ejected(&self) -> usize {
        ((self.subset.ready as f64 * MAX_EJECTED_FRACTION) as usize).max(1)
    }

    fn record_slowness(&mut self, call: &CallEnd) {
        let upstream = &mut self.slots[call.slot];
        let kind = upstream.endpoint.kind;
        let slowness = if call.ending == Ending::Ok {
            self.response_times
                .record_response(kind, call.duration, call.relative)
        } else {
            self.response_times.record_failure(kind, call.relative)
        };
        upstream.health.slowness += SLOWNESS_GAIN * (slowness - upstream.health.slowness);
        self.locality
            .record_slowness(upstream.endpoint.zone, slowness);
    }

    /// Records a success or failure and ejects the upstream if needed. Returns whether it is at fault.
    fn record_result(
        &mut self,
        call: &CallEnd,
        hung: bool,
        may_eject: bool,
        now: Millis,
        tier: &Tier,
        rng: &mut Rng,
    ) -> bool {
        let upstream = &mut self.slots[call.slot];
        let failed = call.ending != Ending::Ok;
        // Neither can be caused by a downstream tier, so the failure rate of other upstreams does not matter.
        let is_conclusive = hung || call.ending == Ending::ConnectFailed;
        let failure = f64::from(u8::from(failed));
        let health = &mut upstream.health;
        // An upstream that accepts calls without responding is ejected without waiting for further timeouts.
        health.failure_rate = if hung {
            1.0
        } else {
            health.failure_rate + FAILURE_GAIN * (failure - health.failure_rate)
        };
        health.count_outcome();
        // Includes all upstreams: if most fail, no single one is an outlier.
        self.failure_rate += FLEET_FAILURE_GAIN * (failure - self.failure_rate);
        // If other instances observe the same, the first failure seen here suffices, unless the upstream responded to
        // this instance recently.
        let no_recent_success = upstream
            .last_success
            .is_none_or(|at| now - at > UPDATE_VALID_FOR);
        let subject = Subject::Upstream(upstream.endpoint.id);
        let corroborated = no_recent_success && tier.corroborates(subject, now);
        if !failed {
            upstream.last_success = Some(now);
        }
        let bound = if corroborated {
            EJECTION_FAILURE_RATE / 2.0
        } else {
            EJECTION_FAILURE_RATE
        };
        let is_outlier = is_conclusive || health.failure_rate > EJECTION_RATIO * self.failure_rate;
        let at_fault = health.failure_rate > bound && is_outlier;
        let is_ejected = now < health.ejected_until;
        if !failed && !is_ejected && health.failure_rate < EJECTION_FAILURE_RATE / 2.0 {
            health.ejections = 0;
        }
        let enough_evidence = is_conclusive || corroborated || health.outcomes >= MIN_OUTCOMES;
        if failed && at_fault && may_eject && enough_evidence && !is_ejected {
            eject(health, call.ending, now, rng);
        }
        at_fault
    }

    /// What this instance observes of an upstream. Error responses do not count, as a downstream tier may cause them.
    pub(crate) fn finding(&self, slot: usize, now: Millis) -> Option<Finding> {
        if self.is_unresponsive(slot, now) {
            return Some(Finding::Unresponsive);
        }
        let health = &self.slots[slot].health;
        if health.lost_until <= 0.0 {
            return None;
        }
        // Every ejection starts at this failure rate; a lower rate means that there was a response since.
        if health.failure_rate < EJECTION_FAILURE_RATE {
            (now < health.lost_until + MAX_EJECTION).then_some(Finding::Cleared)
        } else {
            (now < health.lost_until).then_some(Finding::Unresponsive)
        }
    }

    /// Extends the ejections of upstreams that other instances have ejected too, until one of them gets a response or a
    /// random draw selects this instance for a trial. `since_last` is the time since the previous call.
    pub(crate) fn extend_ejections(
        &mut self,
        tier: &Tier,
        settings: &Settings,
        since_last: Millis,
        now: Millis,
        rng: &mut Rng,
    ) {
        if tier.current(now).is_none() {
            return;
        }
        for upstream in &mut self.slots {
            let health = &mut upstream.health;
            if health.lost_until <= now {
                continue;
            }
            let factors =
                tier.trial_interval_factors(Subject::Upstream(upstream.endpoint.id), settings, now);
            if factors.first > 1.0 {
                let is_turn = random_unit(rng) * BASE_EJECTION * factors.subsequent < since_last;
                let until = if is_turn {
                    now
                } else {
                    health.ejected_until.max(now + UPDATE_VALID_FOR)
                };
                health.ejected_until = until;
                health.lost_until = until;
            }
        }
    }

    /// Whether the upstream is ejected, unresponsive or overloaded.
    pub(crate) fn is_excluded(&self, slot: usize, now: Millis) -> bool {
        now < self.slots[slot].health.ejected_until
            || self.is_unresponsive(slot, now)
            || self.is_overloaded(slot, now)
    }
}

/// Ejects an upstream. Without ejection, one that fails fast would be preferred for its few calls in flight.
fn eject(health: &mut Health, ending: Ending, now: Millis, rng: &mut Rng) {
    health.count_ejection();
    let length = (BASE_EJECTION * f64::from(health.ejections)).min(MAX_EJECTION);
    health.ejected_until = now + length * (0.75 + 0.5 * random_unit(rng));
    if ending != Ending::Error {
        health.lost_until = health.ejected_until;
    }
    // One more failure after the ejection ends ejects it again.
    health.failure_rate = EJECTION_FAILURE_RATE;
}
