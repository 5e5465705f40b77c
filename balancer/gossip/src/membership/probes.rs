//! Probes in flight. Owns the targets and stages of this replica's own probes, their latest outcomes, and the indirect
//! probes that it relays for others. Does not change the status of members.
use std::collections::VecDeque;

use crate::types::{Member, Millis};

/// The timeout of one stage of a probe: far above a round trip within a site, and above a short scheduling delay.
pub(crate) const ACK_TIMEOUT: Millis = 100.0;
/// Stages of a probe: a direct ping, a second one, and a third together with three indirect ones. At 10% loss, all
/// stages fail for a live member with a probability of 3 in 10,000.
const STAGES: u8 = 3;
/// Stages of a probe of a suspected member, which may last as long as the suspicion. Without indirect probes, all
/// stages fail for a live member with a probability of 2 in 10,000.
const SUSPECT_STAGES: u8 = 5;
/// The network counts as lossy above this share of acknowledged probes that needed a second stage: the share is 19% at
/// 10% loss, and 51% at 30%. On a lossy network, probes have twice the stages.
const LOSSY_RATIO: f64 = 0.35;
/// The weight of one probe in the exponential moving average of that share, which leaves a noise of 5%.
const LATE_RATIO_WEIGHT: f64 = 1.0 / 32.0;
/// Limit of concurrent probes of suspected members: if many are suspected at once they have likely failed, and the
/// budget is better spent on others.
const MAX_SUSPECT_PROBES: usize = 8;
/// Limit of concurrent probes.
const MAX_PROBES: usize = 64;
/// The timeout of an indirect probe relayed for another member.
const RELAY_TIMEOUT: Millis = 300.0;
/// Limit of concurrent indirect probes relayed for others.
const MAX_RELAYS: usize = 32;
/// Latest outcomes of own probes that are retained to detect isolation.
const MAX_OUTCOMES: usize = 8;
/// Stamps are whole milliseconds, so evidence of life that appears older than a probe's start by up to this much still
/// acknowledges the probe.
const STAMP_TOLERANCE: Millis = 3.0;

/// Why a member is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// It is next in the random order. It is probed indirectly too, and the outcome is used to detect isolation.
    RandomOrder,
    /// It is the successor in the list. It is probed indirectly too.
    Successor,
    /// It is suspected, or not known to be up.
    Suspect,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    pub target: Member,
    pub started: Millis,
    /// When the current stage times out.
    pub deadline: Millis,
    pub stage: u8,
    pub purpose: Purpose,
}

impl Probe {
    fn max_stages(&self) -> u8 {
        match self.purpose {
            Purpose::Suspect => SUSPECT_STAGES,
            Purpose::RandomOrder | Purpose::Successor => STAGES,
        }
    }
}

/// Probes whose stage has timed out.
#[derive(Debug, Default)]
pub(crate) struct TimedOut {
    /// Probes that enter their next stage.
    pub retried: Vec<Probe>,
    /// Probes without a stage left, which are no longer in flight.
    pub failed: Vec<Probe>,
}

/// An indirect probe that this replica relays for another member.
#[derive(Clone, Copy, Debug)]
struct Relay {
    requester: Member,
    target: Member,
    started: Millis,
}

/// The final outcome of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Acknowledged,
    Failed,
}

/// Probes in flight, both own ones and relayed ones.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    pub all: Vec<Probe>,
    relays: Vec<Relay>,
    outcomes: VecDeque<Outcome>,
    /// The smoothed share of acknowledged probes that needed a second stage.
    late_ratio: f64,
}

impl Probes {
    /// Begins a probe unless the target is already being probed or a limit is reached; returns whether it began.
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
            deadline: now + ACK_TIMEOUT,
            stage: 0,
            purpose,
        });
        true
    }

    /// Completes the probes of a member that was alive at `alive_at`, except those that began later.
    pub(crate) fn record_alive(&mut self, member: Member, alive_at: Millis) {
        let (outcomes, late_ratio) = (&mut self.outcomes, &mut self.late_ratio);
        self.all.retain(|probe| {
            let acknowledged =
                probe.target == member && alive_at >= probe.started - STAMP_TOLERANCE;
            if acknowledged && probe.purpose == Purpose::RandomOrder {
                record_outcome(outcomes, Outcome::Acknowledged);
            }
            if acknowledged && probe.purpose != Purpose::Suspect {
                let late = f64::from(u8::from(probe.stage > 0));
                *late_ratio += (late - *late_ratio) * LATE_RATIO_WEIGHT;
            }
            !acknowledged
        });
    }

    /// Advances probes whose stage has timed out, and removes those that have failed.
    pub(crate) fn on_timeout(&mut self, now: Millis) -> TimedOut {
        let mut timed_out = TimedOut::default();
        let factor = if self.is_lossy() { 2 } else { 1 };
        let outcomes = &mut self.outcomes;
        self.all.retain_mut(|probe| {
            if probe.deadline > now {
                return true;
            }
            probe.stage += 1;
            probe.deadline = now + ACK_TIMEOUT;
            if probe.stage < probe.max_stages() * factor {
                timed_out.retried.push(*probe);
                return true;
            }
            if probe.purpose == Purpose::RandomOrder {
                record_outcome(outcomes, Outcome::Failed);
            }
            timed_out.failed.push(*probe);
            false
        });
        timed_out
    }

    pub(crate) fn is_in_flight(&self, member: Member) -> bool {
        self.all.iter().any(|probe| probe.target == member)
    }

    /// The share of the latest probes that were acknowledged, an estimate of the share of unsuspected members that are
    /// alive.
    pub(crate) fn acknowledged_ratio(&self) -> f64 {
        let failed = self.failures(MAX_OUTCOMES);
        (MAX_OUTCOMES - failed) as f64 / MAX_OUTCOMES as f64
    }

    /// The number of failures among the latest `count` outcomes.
    fn failures(&self, count: usize) -> usize {
        let latest = self.outcomes.iter().rev().take(count);
        latest
            .filter(|outcome| **outcome == Outcome::Failed)
            .count()
    }

    /// Whether loss is so high that a missing acknowledgement is weak evidence. Probes of failed members don't count.
    pub(crate) fn is_lossy(&self) -> bool {
        self.late_ratio > LOSSY_RATIO
    }

    /// Whether to request indirect probes: from the last regular stage on, and one stage later on
    /// a lossy network, unless this replica is likely isolated.
    pub(crate) fn needs_indirect(&self, probe: &Probe) -> bool {
        let direct = if self.is_lossy() { STAGES } else { STAGES - 1 };
        probe.purpose != Purpose::Suspect && probe.stage >= direct && !self.likely_isolated()
    }

    /// Whether more of the latest probes failed than loss alone is likely to cause.
    pub(crate) fn likely_isolated(&self) -> bool {
        self.failures(MAX_OUTCOMES / 2) >= 2
    }

    /// Begins to relay an indirect probe of `target` for `requester`.
    pub(crate) fn relay(&mut self, now: Millis, requester: Member, target: Member) {
        self.relays
            .retain(|relay| now - relay.started < RELAY_TIMEOUT);
        if self.relays.len() < MAX_RELAYS {
            self.relays.push(Relay {
                requester,
                target,
                started: now,
            });
        }
    }

    /// Completes the relayed probes of a member that was alive at `alive_at`; returns their requesters.
    pub(crate) fn take_answered_relays(
        &mut self,
        now: Millis,
        target: Member,
        alive_at: Millis,
    ) -> Vec<Member> {
        let mut requesters = Vec::new();
        self.relays.retain(|relay| {
            let acknowledged =
                relay.target == target && alive_at >= relay.started - STAMP_TOLERANCE;
            if acknowledged {
                requesters.push(relay.requester);
            }
            !acknowledged && now - relay.started < RELAY_TIMEOUT
        });
        requesters
    }

    /// Drops all probes: after a pause of this replica their timeouts are no evidence.
    pub(crate) fn clear(&mut self) {
        self.all.clear();
        self.relays.clear();
    }
}

fn record_outcome(outcomes: &mut VecDeque<Outcome>, outcome: Outcome) {
    outcomes.push_back(outcome);
    if outcomes.len() > MAX_OUTCOMES {
        outcomes.pop_front();
    }
}
