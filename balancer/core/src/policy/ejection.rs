//! Owns how upstreams fail, hang and crowd: decides which are taken out, and for how long.
use super::{limits::CYCLE, subset::SUBSET_LEAST, tier::WORD_KEPT};
use crate::{interface::*, state::*};

/// Smoothing of an upstream's failures, per outcome.
const FAIL_GAIN: f64 = 0.25;
/// An upstream is ejected when its failures exceed this and this multiple of the whole list's.
const EJECT_AT: f64 = 0.4;
const EJECT_RATIO: f64 = 2.0;
/// Failures but hanging eject no more than this part, yet one: they may come from elsewhere; the rest crowds.
const EJECT_PART: f64 = 1.0 / 3.0;
/// First ejection lasts this long, each further one as much longer, up to the most.
const EJECT_BASE: Millis = 2000.0;
pub(super) const EJECT_MOST: Millis = 16_000.0;
/// An upstream with calls out that has not answered for this many mean answer times counts as hung.
const SILENT_FACTOR: f64 = 6.0;
const SILENT_LEAST: Millis = 300.0;
/// Smoothing of an upstream's own answer time.
const ANSWER_GAIN: f64 = 0.2;
/// Crowded is who says it holds this multiple of what others say and this many more; for how long; smoothing.
const CROWDED_AT: f64 = 1.5;
const CROWDED_SPARE: f64 = 2.0;
const SAID_KEPT: Millis = 2000.0;
const SAID_GAIN: f64 = 0.05;

impl Fleet {
    /// Whether its zone is left.
    pub(crate) fn left(&self, i: usize) -> bool {
        self.zones.left(self.slots[i].member.zone)
    }

    /// Whether a call is lost, though its time-out tells of it too late.
    pub(crate) fn lost(
        &self,
        (_, i, sent, rest): (u32, usize, Millis, usize),
        now: Millis,
    ) -> bool {
        self.left(i) || (now - sent >= self.answers.patience() && self.rested.dropped(rest))
    }

    /// Whether an upstream owes answers and has given none for far longer than answers take elsewhere.
    pub(crate) fn silent(&self, i: usize, now: Millis) -> bool {
        let u = &self.slots[i];
        u.inflight > 0
            && now - u.silent_since > (SILENT_FACTOR * self.answers.latency).max(SILENT_LEAST)
    }

    /// Books how an attempt ended, after which part of its objective. Tells whether it is its own fault.
    pub(crate) fn ended(
        &mut self,
        at: (usize, usize),
        how: (Ending, Millis, f64),
        now: Millis,
        tier: &Tier,
        rng: &mut Rng,
    ) -> bool {
        let ((i, rest), (ending, duration, part)) = (at, how);
        self.zones
            .note(&mut self.slots[i], ending, self.answers.patience(), now);
        let hung = ending == Ending::Timeout && self.silent(i, now);
        // Neither is the doing of a tier behind, nor does it matter how many others fail.
        let alone = hung || ending == Ending::ConnectFailed;
        let lost = matches!(ending, Ending::Timeout | Ending::Reset);
        let cut = matches!(ending, Ending::Cancelled | Ending::ConnectFailed);
        if !cut && ending != Ending::Moot {
            self.rested.note_lost(rest, lost);
        }
        let ejected = self
            .by_id
            .values()
            .filter(|&&k| now < self.slots[k].health.ejected_until)
            .count();
        let room = hung || ejected < ((self.subset.ready as f64 * EJECT_PART) as usize).max(1);
        let u = &mut self.slots[i];
        u.ended(lost || cut, now);
        if matches!(ending, Ending::Cancelled | Ending::Moot) {
            return false;
        }
        let failed = ending != Ending::Ok;
        u.silent_since = if ending != Ending::Timeout {
            now
        } else {
            u.silent_since
        };
        let took = self.answers.note(u.member.kind, !failed, duration, part);
        u.health.slowness += ANSWER_GAIN * (took - u.health.slowness);
        self.near.note_took(u.member.zone, took);
        let (bad, h) = (f64::from(u8::from(failed)), &mut u.health);
        // Who takes work and answers nothing while others answer need not be waited for until more time out.
        h.fails = if hung {
            1.0
        } else {
            h.fails + FAIL_GAIN * (bad - h.fails)
        };
        h.outcomes += 1;
        // The fleet's figure counts all: where most fail, it is no fault of each one's own.
        self.fails += 0.02 * (bad - self.fails);
        // Others say the same: one's own first failure will do, unless it answered here of late.
        let silent = u.ok_at.is_none_or(|at| now - at > WORD_KEPT);
        let backed = silent && tier.backs(Subject::Upstream(u.member.id), now);
        u.ok_at = if failed { u.ok_at } else { Some(now) };
        let at = if backed { EJECT_AT / 2.0 } else { EJECT_AT };
        let own = h.fails > at && (alone || h.fails > EJECT_RATIO * self.fails);
        if !failed && now >= h.ejected_until && h.fails < EJECT_AT / 2.0 {
            h.ejections = 0;
        }
        if failed && own && room && (alone || backed || h.outcomes >= 3) && now >= h.ejected_until {
            // A server that fails fast holds few calls and would win every comparison: take it out.
            let length = (EJECT_BASE * f64::from(h.ejections + 1)).min(EJECT_MOST);
            h.ejected_until = now + length * (0.75 + 0.5 * unit(rng));
            h.ejections += 1;
            h.lost_until = if ending == Ending::Error {
                h.lost_until
            } else {
                h.ejected_until
            };
            // One more failure after its return ejects it again.
            h.fails = EJECT_AT;
        }
        own
    }

    /// Whether it answers nothing, or has answered since. Errors do not tell: they may come from behind.
    pub(crate) fn evidence(&self, i: usize, now: Millis) -> Option<bool> {
        // Every ejection begins at this part of failures: less tells of an answer.
        let (h, answered) = (&self.slots[i].health, self.slots[i].health.fails < EJECT_AT);
        let told =
            h.lost_until > 0.0 && now < h.lost_until + if answered { EJECT_MOST } else { 0.0 };
        self.silent(i, now)
            .then_some(true)
            .or(told.then_some(!answered))
    }

    /// What others have ejected too stays out, until one is answered or by chance it is the own turn.
    pub(crate) fn hold(
        &mut self,
        tier: &Tier,
        s: &Settings,
        (since, now): (Millis, Millis),
        rng: &mut Rng,
    ) {
        for u in self
            .slots
            .iter_mut()
            .filter(|u| u.health.lost_until > now && tier.word(now).is_some())
        {
            let (h, (first, then)) = (
                &mut u.health,
                tier.wait(Subject::Upstream(u.member.id), s, now),
            );
            if first > 1.0 {
                let turn = unit(rng) * EJECT_BASE * then < since;
                let until = if turn {
                    now
                } else {
                    h.ejected_until.max(now + WORD_KEPT)
                };
                (h.ejected_until, h.lost_until) = (until, until);
            }
        }
    }

    /// Whether it is ejected, silent or crowded.
    pub(crate) fn out(&self, i: usize, now: Millis) -> bool {
        now < self.slots[i].health.ejected_until || self.silent(i, now) || self.crowded(i, now)
    }

    /// Takes note of what an upstream says it holds.
    pub(crate) fn said(&mut self, id: UpstreamId, held: f64, now: Millis) {
        if let Some(&i) = self.by_id.get(&id).filter(|_| held.is_finite()) {
            (self.slots[i].held, self.slots[i].held_at) = (held, now);
            self.held += SAID_GAIN * (held - self.held);
            self.near.note_said(self.slots[i].member.zone, held);
        }
    }

    /// Calls per cycle that all copies together get served, by what upstreams have said of late.
    pub(crate) fn served_by_all(&self, now: Millis) -> Option<f64> {
        let up = |u: &&Upstream| {
            u.member.availability == Availability::Ready && now >= u.health.lost_until
        };
        let up: Vec<&Upstream> = self
            .by_id
            .values()
            .map(|&i| &self.slots[i])
            .filter(up)
            .collect();
        let heard = |u: &&&Upstream| u.served > 0.0 && now - u.served_at < SAID_KEPT;
        let heard: Vec<f64> = up.iter().filter(heard).map(|u| u.served).collect();
        let mean = heard.iter().sum::<f64>() / heard.len() as f64;
        (heard.len() >= SUBSET_LEAST / 2).then_some(mean * up.len() as f64 * CYCLE / 1000.0)
    }

    /// Whether it said of late that it holds far more than others do, of one call each of many balancers.
    pub(crate) fn crowded(&self, i: usize, now: Millis) -> bool {
        let u = &self.slots[i];
        now - u.held_at < SAID_KEPT && u.held > CROWDED_AT * self.held + CROWDED_SPARE
    }
}
