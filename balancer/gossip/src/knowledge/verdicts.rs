//! Evidence against upstreams and zones, and its withdrawal. Owns the last observation of each observer on each
//! subject.
//!
//! An observer owns its observations; its last one wins, by its own sequence, and between equals the one that is known
//! to be younger. Both are maxima, so the order and the number of datagrams don't matter. What no observer renews
//! expires after [`MAX_AGE`].
use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand::Rng;

use crate::knowledge::ages::created;
use crate::types::{Evidence, Member, Millis, Subject};
use crate::wire::v1::{ticks, Stance, Verdict};

/// Evidence older than this is left out: an observer renews it thrice in that time.
pub const MAX_AGE: Millis = 3_000.0;
/// How often an observer renews what it still observes.
const RENEWAL_PERIOD: Millis = 1_000.0;
/// Subjects held at most, the youngest first: a tier of 64 zones and upstreams in trouble at a time has one common
/// trouble, which more of them wouldn't show better.
const MAX_SUBJECTS: usize = 64;
/// Observers held for a subject at most, the youngest first: a verdict is as good with eight as with 300.
const MAX_OBSERVERS: usize = 8;

/// The last observation of one observer on one subject.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Observation {
    sequence: u16,
    created: Millis,
    stance: Stance,
    zone: u16,
}

impl Observation {
    /// Whether this one wins against another of the same observer on the same subject.
    fn supersedes(&self, other: &Observation) -> bool {
        match self.sequence.wrapping_sub(other.sequence) {
            0 => (self.created, self.stance) > (other.created, other.stance),
            ahead => ahead < 1 << 15,
        }
    }
}

/// All recent observations, the own ones included.
#[derive(Debug)]
pub struct Verdicts {
    own: Member,
    zone: u16,
    sequence: u16,
    observations: BTreeMap<Subject, BTreeMap<u16, Observation>>,
}

impl Verdicts {
    pub fn new(own: Member, zone: u16, sequence: u16) -> Verdicts {
        Verdicts {
            own,
            zone,
            sequence,
            observations: BTreeMap::new(),
        }
    }

    /// Takes all that this replica observes itself now; whether any of it is new and to be gossiped at once.
    pub fn observe(&mut self, now: Millis, against: &[Subject], cleared: &[Subject]) -> bool {
        let against = against
            .iter()
            .take(MAX_SUBJECTS / 2)
            .map(|subject| (*subject, Stance::Against));
        let cleared = cleared
            .iter()
            .take(MAX_SUBJECTS / 2)
            .map(|subject| (*subject, Stance::Cleared));
        let (own, zone) = (self.own.0, self.zone);
        let mut changed_any = false;
        let mut own_verdicts: BTreeMap<Subject, Stance> = BTreeMap::new();
        for (subject, stance) in against.chain(cleared) {
            own_verdicts.entry(subject).or_insert(stance);
        }
        // What is observed no longer is not renewed, and expires everywhere.
        self.observations.retain(|subject, by_observer| {
            if !own_verdicts.contains_key(subject) {
                by_observer.remove(&own);
            }
            !by_observer.is_empty()
        });
        for (subject, stance) in own_verdicts {
            let by_observer = self.observations.entry(subject).or_default();
            let last = by_observer.get(&own).copied();
            let changed = last.is_none_or(|last| last.stance != stance);
            if changed || last.is_some_and(|last| now - last.created >= RENEWAL_PERIOD) {
                self.sequence = self.sequence.wrapping_add(1);
                by_observer.insert(
                    own,
                    Observation {
                        sequence: self.sequence,
                        created: now,
                        stance,
                        zone,
                    },
                );
            }
            changed_any |= changed;
        }
        changed_any
    }

    /// Takes the observation of another; whether it is new and to be gossiped at once.
    pub fn read(&mut self, now: Millis, transit: Millis, verdict: &Verdict) -> bool {
        let created = created(now, verdict.age, transit);
        if verdict.observer == self.own.0 || now - created > MAX_AGE {
            return false;
        }
        let observation = Observation {
            sequence: verdict.sequence,
            created,
            stance: verdict.stance,
            zone: verdict.zone,
        };
        let by_observer = self.observations.entry(verdict.subject).or_default();
        let last = by_observer.get(&verdict.observer);
        if last.is_some_and(|last| !observation.supersedes(last)) {
            return false;
        }
        let news = last.is_none_or(|last| last.stance != observation.stance);
        by_observer.insert(verdict.observer, observation);
        let news = news && by_observer.len() <= MAX_OBSERVERS;
        self.bound(now);
        news
    }

    /// Removes what is beyond the bounds, in number and in age.
    pub fn bound(&mut self, now: Millis) {
        let own = self.own.0;
        self.observations.retain(|_, by_observer| {
            by_observer.retain(|observer, observation| {
                *observer == own || now - observation.created <= MAX_AGE
            });
            while by_observer.len() > MAX_OBSERVERS {
                let Some(oldest) = oldest_observer(by_observer, own) else {
                    break;
                };
                by_observer.remove(&oldest);
            }
            !by_observer.is_empty()
        });
        while self.observations.len() > MAX_SUBJECTS {
            let Some(oldest) = self.oldest_subject() else {
                break;
            };
            self.observations.remove(&oldest);
        }
    }

    /// The subject whose latest observation is the oldest; those that this replica observes itself come last.
    fn oldest_subject(&self) -> Option<Subject> {
        let latest = |by_observer: &BTreeMap<u16, Observation>| {
            let times = by_observer.values().map(|observation| observation.created);
            (
                by_observer.contains_key(&self.own.0),
                times.fold(f64::NEG_INFINITY, f64::max),
            )
        };
        let oldest = self.observations.iter().min_by(|a, b| {
            let (a, b) = (latest(a.1), latest(b.1));
            a.partial_cmp(&b).expect("times are numbers")
        });
        oldest.map(|(subject, _)| *subject)
    }

    /// Forgets the observations of a former run of a member.
    pub fn forget(&mut self, member: Member) {
        self.observations.retain(|_, by_observer| {
            by_observer.remove(&member.0);
            !by_observer.is_empty()
        });
    }

    /// The observations for a datagram: a few, the newest ones first and the others at random.
    pub fn outgoing(&self, now: Millis, rng: &mut impl Rng) -> Vec<Verdict> {
        let mut all: Vec<Verdict> = Vec::new();
        for (subject, by_observer) in &self.observations {
            for (observer, observation) in by_observer {
                if now - observation.created > MAX_AGE {
                    continue;
                }
                let Some(age) = ticks(now - observation.created) else {
                    continue;
                };
                let (subject, observer, zone) = (*subject, *observer, observation.zone);
                let (sequence, stance) = (observation.sequence, observation.stance);
                all.push(Verdict {
                    subject,
                    observer,
                    zone,
                    sequence,
                    stance,
                    age,
                });
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
        for (subject, by_observer) in &self.observations {
            let others = by_observer.iter().filter(|(observer, observation)| {
                **observer != self.own.0 && now - observation.created <= MAX_AGE
            });
            let (mut observers, mut cleared, mut age) = (0, 0, f64::INFINITY);
            let mut zones: Vec<u16> = Vec::new();
            for (_, observation) in others {
                age = f64::min(age, now - observation.created);
                match observation.stance {
                    Stance::Against => {
                        observers += 1;
                        zones.push(observation.zone);
                    }
                    Stance::Cleared => cleared += 1,
                }
            }
            zones.sort_unstable();
            zones.dedup();
            if observers + cleared > 0 {
                let zones = zones.len() as u32;
                all.push(Evidence {
                    subject: *subject,
                    observers,
                    zones,
                    cleared,
                    age,
                });
            }
        }
        all
    }
}

/// The observer of the oldest observation; this replica itself comes last.
fn oldest_observer(by_observer: &BTreeMap<u16, Observation>, own: u16) -> Option<u16> {
    let key = |(observer, observation): &(&u16, &Observation)| {
        (**observer == own, observation.created, **observer)
    };
    let oldest = by_observer
        .iter()
        .min_by(|a, b| key(a).partial_cmp(&key(b)).expect("times are numbers"));
    oldest.map(|(observer, _)| *observer)
}
