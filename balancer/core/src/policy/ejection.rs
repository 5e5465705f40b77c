//! Decides which upstreams are ejected as outliers, and for how long, from how their calls end.
use super::tier::UPDATE_VALID_FOR;
use crate::{interface::*, state::*};

/// Smoothing of an upstream's failures, per outcome.
const FAILURE_GAIN: f64 = 0.25;
/// Smoothing of the failures of all upstreams, per outcome.
const FLEET_FAILURE_GAIN: f64 = 0.02;
/// An upstream is ejected when its failures exceed this and `EJECTION_RATIO`.
const EJECTION_FAILURE_RATE: f64 = 0.4;
/// Multiple of the failures of all upstreams that one must exceed to be ejected.
const EJECTION_RATIO: f64 = 2.0;
/// Part of upstreams that failures other than hanging eject at most, yet one: they may come from elsewhere, and the
/// rest gets overloaded.
const MAX_EJECTED_PART: f64 = 1.0 / 3.0;
/// Outcomes that are needed to eject by.
const MIN_OUTCOMES: u32 = 3;
/// The first ejection lasts this long, each further one as much longer.
const BASE_EJECTION: Millis = 2000.0;
pub(super) const MAX_EJECTION: Millis = 16_000.0;
/// An upstream with calls in flight that has not responded for this many mean response times is unresponsive.
const UNRESPONSIVE_FACTOR: f64 = 6.0;
const MIN_UNRESPONSIVE: Millis = 300.0;
/// Smoothing of an upstream's own response time.
const SLOWNESS_GAIN: f64 = 0.2;

/// A call that ended.
pub(super) struct CallEnd {
    /// Slot of its upstream.
    pub slot: usize,
    /// How long its connection may have been idle.
    pub idle_step: usize,
    pub ending: Ending,
    pub duration: Millis,
    /// The part of the class's objective that it took.
    pub relative: f64,
}

impl CallEnd {
    /// Whether it got no response, though it may have been received.
    fn is_lost(&self) -> bool {
        matches!(self.ending, Ending::Timeout | Ending::Reset)
    }

    /// Whether it ended before it could get a response.
    fn is_aborted(&self) -> bool {
        matches!(self.ending, Ending::Cancelled | Ending::ConnectFailed)
    }
}

impl Fleet {
    /// Whether the upstream's zone is ejected.
    pub(crate) fn is_in_ejected_zone(&self, slot: usize) -> bool {
        self.zones.is_ejected(self.slots[slot].endpoint.zone)
    }

    /// Whether a call counts as lost, though its timeout tells of it too late.
    pub(crate) fn is_lost(&self, attempt: &InFlightAttempt, now: Millis) -> bool {
        let overdue = now - attempt.sent_at >= self.response_times.overdue_after();
        self.is_in_ejected_zone(attempt.slot)
            || (overdue && self.idle_connections.are_dropped(attempt.idle_step))
    }

    /// Whether an upstream owes responses and has given none for far longer than responses take elsewhere.
    pub(crate) fn is_unresponsive(&self, slot: usize, now: Millis) -> bool {
        let upstream = &self.slots[slot];
        let bound = (UNRESPONSIVE_FACTOR * self.response_times.mean).max(MIN_UNRESPONSIVE);
        upstream.in_flight > 0 && now - upstream.unanswered_since > bound
    }

    /// Records how a call ended, and ejects its upstream if need be. Returns whether the upstream is at fault.
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
        self.judge(call, hung, may_eject, now, tier, rng)
    }

    /// Upstreams that are ejected now.
    fn ejected(&self, now: Millis) -> usize {
        self.by_id
            .values()
            .filter(|&&slot| now < self.slots[slot].health.ejected_until)
            .count()
    }

    /// Upstreams that failures other than hanging may eject.
    fn max_ejected(&self) -> usize {
        ((self.subset.ready as f64 * MAX_EJECTED_PART) as usize).max(1)
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

    /// Records a success or failure, and ejects the upstream if need be. Returns whether it is at fault.
    fn judge(
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
        // Neither is the doing of a tier behind, nor does it matter how many others fail.
        let certain = hung || call.ending == Ending::ConnectFailed;
        let failure = f64::from(u8::from(failed));
        let health = &mut upstream.health;
        // One that takes work and does not respond while others do need not be waited for until more time out.
        health.fails = if hung {
            1.0
        } else {
            health.fails + FAILURE_GAIN * (failure - health.fails)
        };
        health.count_outcome();
        // The fleet's rate counts all: where most fail, it is no fault of each one's own.
        self.failure_rate += FLEET_FAILURE_GAIN * (failure - self.failure_rate);
        // Others observe the same: one's own first failure will do, unless it responded here of late.
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
        let is_outlier = certain || health.fails > EJECTION_RATIO * self.failure_rate;
        let at_fault = health.fails > bound && is_outlier;
        let is_ejected = now < health.ejected_until;
        if !failed && !is_ejected && health.fails < EJECTION_FAILURE_RATE / 2.0 {
            health.ejections = 0;
        }
        let enough_evidence = certain || corroborated || health.outcomes >= MIN_OUTCOMES;
        if failed && at_fault && may_eject && enough_evidence && !is_ejected {
            eject(health, call.ending, now, rng);
        }
        at_fault
    }

    /// What this instance observes of an upstream. Errors do not count: they may come from behind.
    pub(crate) fn finding(&self, slot: usize, now: Millis) -> Option<Finding> {
        if self.is_unresponsive(slot, now) {
            return Some(Finding::Unresponsive);
        }
        let health = &self.slots[slot].health;
        if health.lost_until <= 0.0 {
            return None;
        }
        // Every ejection begins at this failure rate: less tells of a response.
        if health.fails < EJECTION_FAILURE_RATE {
            (now < health.lost_until + MAX_EJECTION).then_some(Finding::Cleared)
        } else {
            (now < health.lost_until).then_some(Finding::Unresponsive)
        }
    }

    /// Extends the ejection of what others have ejected too, until one of them gets a response or by chance it is this
    /// instance's turn to try. `since_last` is the time since this was last done.
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
            let pauses = tier.trial_pauses(Subject::Upstream(upstream.endpoint.id), settings, now);
            if pauses.first > 1.0 {
                let is_turn = random_unit(rng) * BASE_EJECTION * pauses.repeated < since_last;
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

    /// Whether it is ejected, unresponsive or overloaded.
    pub(crate) fn is_excluded(&self, slot: usize, now: Millis) -> bool {
        now < self.slots[slot].health.ejected_until
            || self.is_unresponsive(slot, now)
            || self.is_overloaded(slot, now)
    }
}

/// Ejects an upstream. One that fails fast has few calls in flight and would win every comparison.
fn eject(health: &mut Health, ending: Ending, now: Millis, rng: &mut Rng) {
    health.count_ejection();
    let length = (BASE_EJECTION * f64::from(health.ejections)).min(MAX_EJECTION);
    health.ejected_until = now + length * (0.75 + 0.5 * random_unit(rng));
    if ending != Ending::Error {
        health.lost_until = health.ejected_until;
    }
    // One more failure after its return ejects it again.
    health.fails = EJECTION_FAILURE_RATE;
}
