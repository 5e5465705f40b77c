//! Probes in flight. Owns the targets and stages of this replica's own, the outcomes of the latest, and the indirect
//! probes that it makes for others. Decides on no member's status.
use std::collections::VecDeque;

use crate::types::{Member, Millis};

/// How long a stage of a probe waits: far above a round trip within a site, and above a moment without the processor.
pub(crate) const ACK_TIMEOUT: Millis = 100.0;
/// Stages of a probe: a direct ping, a second one, and a third together with three indirect ones. At 10% loss all
/// fail for a live member 3 times in 10,000.
const STAGES: u8 = 3;
/// Stages of a probe of a suspected member: it may use the whole suspicion. All fail for a live member 2 times in
/// 10,000, without anybody's help.
const SUSPECT_STAGES: u8 = 5;
/// The share of acknowledged probes that needed a second stage from which on the network counts as lossy. It is 19% at
/// 10% loss, and 51% at 30%; then probes have twice the stages.
const LOSSY_RATIO: f64 = 0.35;
/// The weight of one probe in that share, as an exponential moving average: noise is 5%.
const LATE_RATIO_WEIGHT: f64 = 1.0 / 32.0;
/// Suspected members that are probed at a time: where many are suspected at once they have failed, and the budget is
/// for others.
const MAX_SUSPECT_PROBES: usize = 8;
/// Probes at a time at most.
const MAX_PROBES: usize = 64;
/// How long an indirect probe for another member lasts.
const RELAY_TIMEOUT: Millis = 300.0;
/// Indirect probes for others at a time at most.
const MAX_RELAYS: usize = 32;
/// Latest outcomes of own probes by which a replica judges whether it is isolated.
const MAX_OUTCOMES: usize = 8;
/// Stamps are whole milliseconds: evidence that a member is alive which seems older than a probe's start by no more
/// than this still acknowledges it.
const STAMP_TOLERANCE: Millis = 3.0;

/// Why a member is probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Its turn in the random order: probed indirectly too, and the outcome shows whether this replica is isolated.
    RandomOrder,
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
    /// Those that enter their next stage.
    pub retried: Vec<Probe>,
    /// Those that had no stage left; they are no longer in flight.
    pub failed: Vec<Probe>,
}

/// An indirect probe that this replica makes for another member.
#[derive(Clone, Copy, Debug)]
struct Relay {
    requester: Member,
    target: Member,
    started: Millis,
}

/// Whether a probe was acknowledged in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Acknowledged,
    Failed,
}

/// Probes in flight, own ones and those for others.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    pub all: Vec<Probe>,
    relays: Vec<Relay>,
    outcomes: VecDeque<Outcome>,
    /// The share of acknowledged probes that needed a second stage, smoothed.
    late_ratio: f64,
}

impl Probes {
    /// Begins a probe, if none of the target is in flight.
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

    /// Ends the probes of a member that was alive at this time, unless they began after it.
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

    /// Moves the probes whose stage has timed out on to the next, and takes out those that have failed.
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

    /// Whether a probe of this member is in flight.
    pub(crate) fn is_in_flight(&self, member: Member) -> bool {
        self.all.iter().any(|probe| probe.target == member)
    }

    /// The share of the latest probes that were acknowledged: of those nobody suspects, about as many are alive.
    pub(crate) fn acknowledged_ratio(&self) -> f64 {
        let failed = self.failures(MAX_OUTCOMES);
        (MAX_OUTCOMES - failed) as f64 / MAX_OUTCOMES as f64
    }

    /// Failures among as many of the latest outcomes.
    fn failures(&self, latest: usize) -> usize {
        let latest = self.outcomes.iter().rev().take(latest);
        latest
            .filter(|outcome| **outcome == Outcome::Failed)
            .count()
    }

    /// Whether the network loses so much that a missing acknowledgement proves less. Probes of failed members don't
    /// count.
    pub(crate) fn is_lossy(&self) -> bool {
        self.late_ratio > LOSSY_RATIO
    }

    /// Whether others are to help with a probe: where all went well so far, its last stage.
    pub(crate) fn needs_indirect(&self, probe: &Probe) -> bool {
        let direct = if self.is_lossy() { STAGES } else { STAGES - 1 };
        probe.purpose != Purpose::Suspect && probe.stage >= direct && !self.likely_isolated()
    }

    /// Whether so many of the last few probes failed as loss alone seldom makes fail.
    pub(crate) fn likely_isolated(&self) -> bool {
        self.failures(MAX_OUTCOMES / 2) >= 2
    }

    /// Begins an indirect probe of a member for another one.
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

    /// Ends the indirect probes of a member that was alive at this time; returns who requested them.
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

    /// Drops all probes: after a pause of this replica's own they prove nothing.
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
