//! Evidence against upstreams and zones, and its withdrawal. Owns the latest observation by each observer of each
//! subject.
//!
//! Each observer owns its observations. The one with the highest sequence number wins, and among equal ones the later.
//! As both are maxima, order and repetition of datagrams have no effect. Observations that are not renewed expire after
//! [`MAX_AGE`]. The consequences of evidence are decided elsewhere.
use std::collections::BTreeMap;

use rand::seq::SliceRandom;
use rand::Rng;

use crate::knowledge::ages::earliest_creation;
use crate::types::{Evidence, Member, Millis, Subject};
use crate::wire::v1::{age_to_ticks, Verdict, VerdictState};

/// The maximum age of evidence; an observer renews it three times in this time.
pub const MAX_AGE: Millis = 3_000.0;
/// The interval at which an observer renews its current observations.
const RENEWAL_PERIOD: Millis = 1_000.0;
/// Limit of retained subjects, beyond which those with the oldest evidence are removed. 64 simultaneously faulty zones
/// and upstreams have a common cause, which more subjects would not make clearer.
const MAX_SUBJECTS: usize = 64;
/// Limit of retained observers per subject, beyond which the oldest observations are removed: eight observers are as
/// conclusive as 300.
const MAX_OBSERVERS: usize = 8;
/// Limit of observations per datagram.
const MAX_OUTGOING: usize = 8;
/// Observations up to this age, in units of [`TICK`](crate::wire::v1::TICK), are sent first. It equals half a second,
/// in which a new observation reaches all members.
const NEW_TICKS: u8 = 25;

/// The latest observation of a subject by an observer.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Observation {
    sequence: u16,
    created: Millis,
    state: VerdictState,
    zone: u16,
}

impl Observation {
    /// Whether this observation supersedes another one by the same observer of the same subject.
    fn supersedes(&self, other: &Observation) -> bool {
        match self.sequence.wrapping_sub(other.sequence) {
            0 => (self.created, self.state) > (other.created, other.state),
            ahead => ahead < 1 << 15,
        }
    }

    /// The observation in its form on the wire, unless it has expired.
    fn to_verdict(self, now: Millis, subject: Subject, observer: u16) -> Option<Verdict> {
        let age = now - self.created;
        if age > MAX_AGE {
            return None;
        }
        Some(Verdict {
            subject,
            observer,
            zone: self.zone,
            sequence: self.sequence,
            state: self.state,
            age: age_to_ticks(age)?,
        })
    }
}

/// All recent observations, including this replica's own.
#[derive(Debug)]
pub struct Verdicts {
    own: Member,
    zone: u16,
    sequence: u16,
    observations: BTreeMap<Subject, BTreeMap<u16, Observation>>,
}

impl Verdicts {
    /// Creates an empty set; own observations are numbered from `sequence` on.
    pub fn new(own: Member, zone: u16, sequence: u16) -> Verdicts {
        Verdicts {
            own,
            zone,
            sequence,
            observations: BTreeMap::new(),
        }
    }

    /// Replaces this replica's own observations; returns whether any of them is new and has to be gossiped at once.
    pub fn observe(&mut self, now: Millis, against: &[Subject], cleared: &[Subject]) -> bool {
        let mut own_verdicts: BTreeMap<Subject, VerdictState> = BTreeMap::new();
        for (subjects, state) in [
            (against, VerdictState::Against),
            (cleared, VerdictState::Cleared),
        ] {
            for subject in subjects.iter().take(MAX_SUBJECTS / 2) {
                own_verdicts.entry(*subject).or_insert(state);
            }
        }
        // Observations that no longer hold are not renewed, and expire at all replicas.
        let own = self.own.0;
        self.observations.retain(|subject, by_observer| {
            if !own_verdicts.contains_key(subject) {
                by_observer.remove(&own);
            }
            !by_observer.is_empty()
        });
        let mut changed_any = false;
        for (subject, state) in own_verdicts {
            changed_any |= self.renew(now, subject, state);
        }
        changed_any
    }

    /// Renews an own observation if that is due or its state has changed; returns whether the state has changed.
    fn renew(&mut self, now: Millis, subject: Subject, state: VerdictState) -> bool {
        let by_observer = self.observations.entry(subject).or_default();
        let last = by_observer.get(&self.own.0);
        let changed = last.is_none_or(|last| last.state != state);
        if changed || last.is_some_and(|last| now - last.created >= RENEWAL_PERIOD) {
            self.sequence = self.sequence.wrapping_add(1);
            let observation = Observation {
                sequence: self.sequence,
                created: now,
                state,
                zone: self.zone,
            };
            by_observer.insert(self.own.0, observation);
        }
        changed
    }

    /// Merges an observation by another replica; returns whether it is new and has to be gossiped at once.
    pub fn handle_verdict(&mut self, now: Millis, transit: Millis, verdict: &Verdict) -> bool {
        let created = earliest_creation(now, verdict.age, transit);
        if verdict.observer == self.own.0 || now - created > MAX_AGE {
            return false;
        }
        let observation = Observation {
            sequence: verdict.sequence,
            created,
            state: verdict.state,
            zone: verdict.zone,
        };
        let by_observer = self.observations.entry(verdict.subject).or_default();
        let last = by_observer.get(&verdict.observer);
        if last.is_some_and(|last| !observation.supersedes(last)) {
            return false;
        }
        let is_new = last.is_none_or(|last| last.state != observation.state);
        by_observer.insert(verdict.observer, observation);
        let is_new = is_new && by_observer.len() <= MAX_OBSERVERS;
        self.enforce_bounds(now);
        is_new
    }

    /// Removes observations that have expired.
    pub fn on_timeout(&mut self, now: Millis) {
        self.enforce_bounds(now);
    }

    /// Removes expired observations, and the oldest ones beyond the limits of number.
    fn enforce_bounds(&mut self, now: Millis) {
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

    /// The subject whose latest observation is the oldest; subjects that this replica observes itself rank last.
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
            a.partial_cmp(&b).expect("times are not NaN")
        });
        oldest.map(|(subject, _)| *subject)
    }

    /// Removes the observations of a member, which has restarted.
    pub fn forget(&mut self, member: Member) {
        self.observations.retain(|_, by_observer| {
            by_observer.remove(&member.0);
            !by_observer.is_empty()
        });
    }

    /// The observations for a datagram: the newest ones first, then a random selection of the others.
    pub fn outgoing(&self, now: Millis, rng: &mut impl Rng) -> Vec<Verdict> {
        let mut verdicts: Vec<Verdict> = Vec::new();
        for (subject, by_observer) in &self.observations {
            let observations = by_observer.iter();
            verdicts.extend(observations.filter_map(|(observer, observation)| {
                observation.to_verdict(now, *subject, *observer)
            }));
        }
        verdicts.shuffle(rng);
        verdicts.sort_by_key(|verdict| verdict.age > NEW_TICKS);
        verdicts.truncate(MAX_OUTGOING);
        verdicts
    }

    /// The evidence of other replicas that has not expired.
    pub fn evidence(&self, now: Millis) -> Vec<Evidence> {
        let by_subject = self.observations.iter();
        by_subject
            .filter_map(|(subject, by_observer)| self.evidence_on(now, *subject, by_observer))
            .collect()
    }

    fn evidence_on(
        &self,
        now: Millis,
        subject: Subject,
        by_observer: &BTreeMap<u16, Observation>,
    ) -> Option<Evidence> {
        let others = by_observer.iter().filter(|(observer, observation)| {
            **observer != self.own.0 && now - observation.created <= MAX_AGE
        });
        let mut evidence = Evidence {
            subject,
            observers: 0,
            zones: 0,
            cleared: 0,
            age: f64::INFINITY,
        };
        let mut zones: Vec<u16> = Vec::new();
        for (_, observation) in others {
            evidence.age = evidence.age.min(now - observation.created);
            match observation.state {
                VerdictState::Against => {
                    evidence.observers += 1;
                    zones.push(observation.zone);
                }
                VerdictState::Cleared => evidence.cleared += 1,
            }
        }
        zones.sort_unstable();
        zones.dedup();
        evidence.zones = zones.len() as u32;
        (evidence.observers + evidence.cleared > 0).then_some(evidence)
    }
}

/// The observer of the oldest observation; this replica itself ranks last.
fn oldest_observer(by_observer: &BTreeMap<u16, Observation>, own: u16) -> Option<u16> {
    let key = |(observer, observation): &(&u16, &Observation)| {
        (**observer == own, observation.created, **observer)
    };
    let oldest = by_observer
        .iter()
        .min_by(|a, b| key(a).partial_cmp(&key(b)).expect("times are not NaN"));
    oldest.map(|(observer, _)| *observer)
}
