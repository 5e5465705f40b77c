//! Evidence against upstreams and zones, and its taking back. Owns what each observer said last of each subject.
//!
//! An observer owns what it says; what it said last wins, by its own sequence, and between equals the one that is known
//! to be younger. Both are maxima, so the order and the number of datagrams don't matter. What no observer renews ends
//! after [`BOUND`].
use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand::Rng;

use crate::knowledge::ages::born;
use crate::types::{Evidence, Member, Millis, Subject};
use crate::wire::v1::{ticks, Stand, Verdict};

/// Evidence older than this is left out: an observer renews it thrice in that time.
pub const BOUND: Millis = 3_000.0;
/// How often an observer renews what it still says.
const RENEW: Millis = 1_000.0;
/// Subjects held at most, the youngest first: a tier of 64 zones and upstreams in trouble at a time has one common
/// trouble, which more of them wouldn't tell better.
const SUBJECTS: usize = 64;
/// Observers held for a subject at most, the youngest first: a verdict is as good with eight as with 300.
const OBSERVERS: usize = 8;

/// What one observer said last of one subject.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Said {
    sequence: u16,
    born: Millis,
    stand: Stand,
    zone: u16,
}

impl Said {
    /// Whether this goes before another word of the same observer on the same subject.
    fn before(&self, other: &Said) -> bool {
        match self.sequence.wrapping_sub(other.sequence) {
            0 => (self.born, self.stand) > (other.born, other.stand),
            ahead => ahead < 1 << 15,
        }
    }
}

/// Everything that was said lately.
#[derive(Debug)]
pub struct Verdicts {
    own: Member,
    zone: u16,
    sequence: u16,
    said: BTreeMap<Subject, BTreeMap<u16, Said>>,
}

impl Verdicts {
    pub fn new(own: Member, zone: u16, sequence: u16) -> Verdicts {
        Verdicts { own, zone, sequence, said: BTreeMap::new() }
    }

    /// Takes what this copy says itself now, whole; whether any of it is new and to be told at once.
    pub fn observe(&mut self, now: Millis, against: &[Subject], cleared: &[Subject]) -> bool {
        let against = against.iter().take(SUBJECTS / 2).map(|subject| (*subject, Stand::Against));
        let cleared = cleared.iter().take(SUBJECTS / 2).map(|subject| (*subject, Stand::Cleared));
        let (own, zone) = (self.own.0, self.zone);
        let mut fresh = false;
        let mut kept: BTreeMap<Subject, Stand> = BTreeMap::new();
        for (subject, stand) in against.chain(cleared) {
            kept.entry(subject).or_insert(stand);
        }
        // What is said no more is not renewed, and ends by its age everywhere.
        self.said.retain(|subject, said| {
            if !kept.contains_key(subject) {
                said.remove(&own);
            }
            !said.is_empty()
        });
        for (subject, stand) in kept {
            let held = self.said.entry(subject).or_default();
            let last = held.get(&own).copied();
            let changed = last.is_none_or(|last| last.stand != stand);
            if changed || last.is_some_and(|last| now - last.born >= RENEW) {
                self.sequence = self.sequence.wrapping_add(1);
                held.insert(own, Said { sequence: self.sequence, born: now, stand, zone });
            }
            fresh |= changed;
        }
        fresh
    }

    /// Takes another's word; whether it is news worth passing on at once.
    pub fn read(&mut self, now: Millis, underway: Millis, verdict: &Verdict) -> bool {
        let born = born(now, verdict.age, underway);
        if verdict.observer == self.own.0 || now - born > BOUND {
            return false;
        }
        let said = Said { sequence: verdict.sequence, born, stand: verdict.stand, zone: verdict.zone };
        let held = self.said.entry(verdict.subject).or_default();
        let last = held.get(&verdict.observer);
        if last.is_some_and(|last| !said.before(last)) {
            return false;
        }
        let news = last.is_none_or(|last| last.stand != said.stand);
        held.insert(verdict.observer, said);
        let news = news && held.len() <= OBSERVERS;
        self.bound(now);
        news
    }

    /// Leaves out what is beyond the bounds, in number and in age.
    pub fn bound(&mut self, now: Millis) {
        let own = self.own.0;
        self.said.retain(|_, said| {
            said.retain(|observer, said| *observer == own || now - said.born <= BOUND);
            while said.len() > OBSERVERS {
                let key = |(observer, said): &(&u16, &Said)| (**observer == own, said.born, **observer);
                let oldest =
                    said.iter().min_by(|a, b| key(a).partial_cmp(&key(b)).expect("times are numbers"));
                let Some(oldest) = oldest.map(|(observer, _)| *observer) else { break };
                said.remove(&oldest);
            }
            !said.is_empty()
        });
        while self.said.len() > SUBJECTS {
            let youngest = |said: &BTreeMap<u16, Said>| {
                let own = said.contains_key(&own);
                (own, said.values().map(|said| said.born).fold(f64::NEG_INFINITY, f64::max))
            };
            let oldest = self.said.iter().min_by(|a, b| {
                let (a, b) = (youngest(a.1), youngest(b.1));
                a.partial_cmp(&b).expect("times are numbers")
            });
            let Some(oldest) = oldest.map(|(subject, _)| *subject) else { break };
            self.said.remove(&oldest);
        }
    }

    /// Forgets what a member said in a former run.
    pub fn forget(&mut self, member: Member) {
        self.said.retain(|_, said| {
            said.remove(&member.0);
            !said.is_empty()
        });
    }

    /// What to tell another: a few words, the youngest of each subject and others at random.
    pub fn tell(&self, now: Millis, rng: &mut impl Rng) -> Vec<Verdict> {
        let mut all: Vec<Verdict> = Vec::new();
        for (subject, said) in &self.said {
            for (observer, said) in said {
                if now - said.born > BOUND {
                    continue;
                }
                let Some(age) = ticks(now - said.born) else { continue };
                let (subject, observer, zone) = (*subject, *observer, said.zone);
                let (sequence, stand) = (said.sequence, said.stand);
                all.push(Verdict { subject, observer, zone, sequence, stand, age });
            }
        }
        all.shuffle(rng);
        // News first: half a second is how long it needs to reach all.
        all.sort_by_key(|verdict| verdict.age > 25);
        all.truncate(8);
        all
    }

    /// The evidence of others that is within its bound.
    pub fn evidence(&self, now: Millis) -> Vec<Evidence> {
        let mut all = Vec::new();
        for (subject, said) in &self.said {
            let others =
                said.iter().filter(|(observer, said)| **observer != self.own.0 && now - said.born <= BOUND);
            let (mut observers, mut cleared, mut age) = (0, 0, f64::INFINITY);
            let mut zones: Vec<u16> = Vec::new();
            for (_, said) in others {
                age = f64::min(age, now - said.born);
                match said.stand {
                    Stand::Against => {
                        observers += 1;
                        zones.push(said.zone);
                    }
                    Stand::Cleared => cleared += 1,
                }
            }
            zones.sort_unstable();
            zones.dedup();
            if observers + cleared > 0 {
                let zones = zones.len() as u32;
                all.push(Evidence { subject: *subject, observers, zones, cleared, age });
            }
        }
        all
    }
}
