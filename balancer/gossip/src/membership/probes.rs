//! Probes in flight. Owns the targets and stages of this replica's own, the outcomes of the latest, and the indirect
//! probes that it makes for others.
use std::collections::VecDeque;

use crate::types::{Member, Millis};

/// How long a stage of a probe waits: far above a round trip within a site, and above a moment without the processor.
pub(crate) const ACK_TIMEOUT: Millis = 100.0;
/// Stages of a probe: asked directly, once more, and once more with three others asking as well. At 10 in 100 lost all
/// fail for a live member 3 times in 10,000.
const STAGES: u8 = 3;
/// Stages of a probe of a suspected member: it may use the whole suspicion. All fail for a live member 2 times in
/// 10,000, without anybody's help.
const SUSPECT_STAGES: u8 = 5;
/// Of the probes that were answered in the end, the part that was not at once, from which on the network loses much.
/// It is 19 in 100 at 10 in 100 lost, and 51 at 30 in 100; then probes have twice the stages.
const LOSSY: f64 = 0.35;
/// The weight of one probe in that part: noise is 5 in 100.
const LOSSY_WEIGHT: f64 = 1.0 / 32.0;
/// Suspected members that are probed at a time: where many are suspected at once they are gone, and the budget is for
/// others.
const MAX_SUSPECT_PROBES: usize = 8;
/// Probes at a time at most.
const MAX_PROBES: usize = 64;
/// How long an indirect probe for another member lasts, and how many there are at most.
const RELAY_TIMEOUT: Millis = 300.0;
const MAX_RELAYS: usize = 32;
/// Own probes by whose ends a replica judges whether it is cut off.
const OUTCOMES: usize = 8;

/// Why a member is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Its turn in the random round: probed indirectly too, and the outcome shows whether this replica is isolated.
    Round,
    /// The successor in the list: probed indirectly too.
    Successor,
    /// It is suspected, or not known to be up.
    Suspect,
}

/// One probe.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub target: Member,
    pub started: Millis,
    pub due: Millis,
    pub stage: u8,
    pub purpose: Purpose,
}

/// All probes.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    pub all: Vec<Probe>,
    relays: Vec<(Member, Member, Millis)>,
    outcomes: VecDeque<bool>,
    /// Of the probes that were answered, the part that was not at once, smoothed.
    late: f64,
}

impl Probes {
    /// Begins a probe, if none of the target is in transit.
    pub(crate) fn begin(&mut self, now: Millis, target: Member, purpose: Purpose) -> bool {
        let suspect_probes = self
            .all
            .iter()
            .filter(|probe| probe.purpose == Purpose::Suspect)
            .count();
        if self.all.len() >= MAX_PROBES
            || (purpose == Purpose::Suspect && suspect_probes >= MAX_SUSPECT_PROBES)
            || self.all.iter().any(|probe| probe.target == target)
        {
            return false;
        }
        self.all.push(Probe {
            target,
            started: now,
            due: now + ACK_TIMEOUT,
            stage: 0,
            purpose,
        });
        true
    }

    /// A member lived at this time: its probes that began before have their answer.
    pub(crate) fn record_alive(&mut self, member: Member, at: Millis) {
        let (outcomes, late) = (&mut self.outcomes, &mut self.late);
        self.all.retain(|probe| {
            // Stamps are whole milliseconds.
            let answered = probe.target == member && at >= probe.started - 3.0;
            if answered && probe.purpose == Purpose::Round {
                end(outcomes, true);
            }
            if answered && probe.purpose != Purpose::Suspect {
                *late += (f64::from(u8::from(probe.stage > 0)) - *late) * LOSSY_WEIGHT;
            }
            !answered
        });
    }

    /// The probes that are due now, moved on by a stage; those that have failed are taken out.
    pub(crate) fn due(&mut self, now: Millis) -> (Vec<Probe>, Vec<Probe>) {
        let (mut again, mut failed) = (Vec::new(), Vec::new());
        let times = if self.lossy() { 2 } else { 1 };
        let outcomes = &mut self.outcomes;
        self.all.retain_mut(|probe| {
            if probe.due > now {
                return true;
            }
            probe.stage += 1;
            probe.due = now + ACK_TIMEOUT;
            let stages = if probe.purpose == Purpose::Suspect {
                SUSPECT_STAGES
            } else {
                STAGES
            };
            if probe.stage < stages * times {
                again.push(*probe);
                return true;
            }
            if probe.purpose == Purpose::Round {
                end(outcomes, false);
            }
            failed.push(*probe);
            false
        });
        (again, failed)
    }

    pub(crate) fn under_way(&self, member: Member) -> bool {
        self.all.iter().any(|probe| probe.target == member)
    }

    /// The part of the latest probes that had an answer: of those nobody suspects, about as many live.
    pub(crate) fn answered(&self) -> f64 {
        let answered = self.outcomes.iter().filter(|answered| **answered).count();
        (answered + OUTCOMES - self.outcomes.len()) as f64 / OUTCOMES as f64
    }

    /// Whether the network loses so much that a missing answer proves less. Probes of dead members don't count.
    pub(crate) fn lossy(&self) -> bool {
        self.late > LOSSY
    }

    /// Whether others are to help with a probe: where all went well so far, its last stage.
    pub(crate) fn needs_indirect(&self, probe: &Probe) -> bool {
        let direct = if self.lossy() { STAGES } else { STAGES - 1 };
        probe.purpose != Purpose::Suspect && probe.stage >= direct && !self.likely_isolated()
    }

    /// Whether of the last few probes as many failed as loss alone seldom makes fail.
    pub(crate) fn likely_isolated(&self) -> bool {
        self.outcomes
            .iter()
            .rev()
            .take(OUTCOMES / 2)
            .filter(|answered| !**answered)
            .count()
            >= 2
    }

    /// One member asks about another.
    pub(crate) fn relay(&mut self, now: Millis, asker: Member, about: Member) {
        self.relays.retain(|(_, _, at)| now - at < RELAY_TIMEOUT);
        if self.relays.len() < MAX_RELAYS {
            self.relays.push((asker, about, now));
        }
    }

    /// Those who asked about a member that lived at this time, each with when it did.
    pub(crate) fn relayed(&mut self, now: Millis, about: Member, alive_at: Millis) -> Vec<Member> {
        let mut askers = Vec::new();
        self.relays.retain(|(asker, target, at)| {
            let answered = *target == about && alive_at >= *at - 3.0;
            if answered {
                askers.push(*asker);
            }
            !answered && now - at < RELAY_TIMEOUT
        });
        askers
    }

    /// After a pause of this replica's own, probes in flight prove nothing.
    pub(crate) fn forget(&mut self) {
        self.all.clear();
        self.relays.clear();
    }
}

fn end(outcomes: &mut VecDeque<bool>, answered: bool) {
    outcomes.push_back(answered);
    if outcomes.len() > OUTCOMES {
        outcomes.pop_front();
    }
}
