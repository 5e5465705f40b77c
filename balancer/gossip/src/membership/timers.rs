//! What is due by time: probes, suspicions that time out, discovery of members that aren't up, gossip rounds.
use rand::seq::SliceRandom;
use rand::Rng;

use super::probes::{Probe, Probes, Purpose};
use super::table::{Entry, VERIFY_AFTER};
use super::{
    Membership, Outgoing, DISCOVERY_ALONE, DISCOVERY_PERIOD, GOSSIP_FANOUT, MAX_TIMER_LATENESS,
    PERIOD, ROUND_INTERVAL, SILENT, SUSPICION,
};
use crate::types::{Member, Millis};
use crate::wire::v1::{About, Kind, Status};

/// Members that are asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;
/// Further members that are probed in a period in which most don't answer.
const MORE: usize = 3;
/// Members that verify one suspicion themselves, of those that only received it.
const VERIFIERS: f64 = 64.0;
/// Urgent updates that fit into one datagram.
const MAX_URGENT_RECORDS: usize = 14;
/// Strangers that are probed at once.
const MAX_STRANGERS: usize = 3;

/// How long a suspicion lasts. A replica that has not probed the member itself leaves it to those that have, unless
/// many are suspected, which can't all be probed. Where much is lost, all takes longer.
fn suspicion_timeout(entry: &Entry, probes: &Probes) -> Millis {
    let times = if entry.probed || probes.likely_isolated() {
        1.0
    } else {
        2.0
    };
    SUSPICION * times * if probes.lossy() { 2.0 } else { 1.0 }
}

impl Membership {
    /// When something is due.
    pub(crate) fn next_timeout(&self) -> Option<Millis> {
        if self.departed {
            return None;
        }
        let probes = self.probes.all.iter().map(|probe| probe.due);
        let suspects = self.table.entries.iter().enumerate();
        let suspects = suspects.filter(|(_, entry)| entry.status == Some(Status::Suspect));
        // One that is being asked ends with its probe.
        let suspects = suspects.filter_map(|(at, entry)| match entry.verified {
            false => Some(entry.since + VERIFY_AFTER),
            true if self.probes.under_way(Member(at as u16)) => None,
            true => Some(entry.since + suspicion_timeout(entry, &self.probes)),
        });
        let first = probes
            .chain(suspects)
            .chain(self.next_round)
            .fold(f64::INFINITY, f64::min);
        Some(first.min(self.next_probe).min(self.next_discovery))
    }

    /// Detects that this replica was not running. What it waited for then counts for nothing, and suspicions last
    /// longer by as much.
    pub(crate) fn resume(&mut self, now: Millis) {
        let Some(late) = self
            .next_timeout()
            .map(|due| now - due)
            .filter(|late| *late > MAX_TIMER_LATENESS)
        else {
            return;
        };
        self.probes.forget();
        for entry in &mut self.table.entries {
            if entry.status == Some(Status::Suspect) {
                entry.since = (entry.since + late).min(now);
            }
        }
        (self.next_probe, self.next_discovery) = (now, self.next_discovery.max(now));
        self.next_round = self.next_round.map(|at| at.max(now));
    }

    /// Does what is due.
    pub(crate) fn timeout(&mut self, now: Millis) {
        if self.departed {
            return;
        }
        self.probes_due(now);
        self.suspects_due(now);
        if now >= self.next_probe {
            self.next_probe = now + PERIOD * self.rng.gen_range(0.9..1.1);
            self.probe_turn(now);
        }
        if now >= self.next_discovery {
            self.next_discovery = now + DISCOVERY_PERIOD * self.rng.gen_range(0.9..1.1);
            self.discover(now, 1);
        }
        if self.next_round.is_some_and(|at| now >= at) {
            self.gossip_round(now);
        }
    }

    /// Probes one member.
    fn probe_turn(&mut self, now: Millis) {
        let up = self.table.unsuspected();
        if up.len() <= 1 {
            self.discover(now, DISCOVERY_ALONE);
        }
        // Where most don't answer, many have ended at once or this replica is cut off: to know soon, it asks more of
        // them.
        let more = if self.probes.likely_isolated() {
            MORE
        } else {
            0
        };
        for _ in 0..more {
            if let Some(target) = self.by_round(&up).filter(|_| self.budget.may_answer(now)) {
                if self.probes.begin(now, target, Purpose::Round) {
                    self.send(target, Kind::Ping, true);
                }
            }
        }
        self.successor = !self.successor && more == 0;
        let (target, purpose) = match self.successor {
            true => (self.after(&up), Purpose::Successor),
            false => (self.by_round(&up), Purpose::Round),
        };
        if let Some(target) = target {
            self.probes.begin(now, target, purpose);
            // What rides on it gives way where the budget was spent on news.
            let bare = !self.budget.has_credit(now);
            self.send(target, Kind::Ping, bare);
        }
    }

    /// The member after this one in the list's order, so that each is asked by one at least in every other period.
    fn after(&self, up: &[Member]) -> Option<Member> {
        let next = up.iter().find(|member| **member > self.own).or(up.first());
        next.copied().filter(|member| *member != self.own)
    }

    /// The next of all members in random order.
    fn by_round(&mut self, up: &[Member]) -> Option<Member> {
        for _ in 0..2 {
            while let Some(member) = self.round.pop() {
                if member != self.own && up.contains(&member) {
                    return Some(member);
                }
            }
            self.round = up.to_vec();
            self.round.shuffle(&mut self.rng);
        }
        None
    }

    /// Probes a few candidates that aren't up, first those that have sent something.
    fn discover(&mut self, now: Millis, most: usize) {
        let mut targets: Vec<Member> = Vec::new();
        while let Some(member) = self
            .strangers
            .pop_front()
            .filter(|_| targets.len() < MAX_STRANGERS)
        {
            if !self.is_up(member) {
                targets.push(member);
            }
        }
        if !self.strangers.is_empty() {
            self.next_discovery = self.next_discovery.min(now + ROUND_INTERVAL);
        }
        if targets.is_empty() {
            let entries = self.table.entries.iter().enumerate();
            let away = entries
                .filter(|(_, entry)| !entry.up())
                .map(|(at, _)| Member(at as u16));
            let mut away: Vec<Member> = away.collect();
            targets = away.partial_shuffle(&mut self.rng, most).0.to_vec();
        }
        for target in targets {
            self.probe(now, target);
        }
    }

    /// Probes a member outside the regular round, as far as the budget goes.
    pub(crate) fn probe(&mut self, now: Millis, target: Member) {
        if target != self.own
            && self.budget.has_credit(now)
            && self.probes.begin(now, target, Purpose::Suspect)
        {
            // The record known of it goes along, so that its answer can refute that.
            let first = self.correction(now, target, 0);
            self.out.push_back(Outgoing {
                to: target,
                kind: Kind::Ping,
                about: None,
                first,
                bare: true,
            });
        }
    }

    /// Verifies that a member is gone, as others report; only some replicas do, so that it isn't probed by all at once.
    pub(super) fn verify(&mut self, now: Millis, target: Member) {
        let up = self.table.up().len() as f64;
        if !self.probes.likely_isolated() && self.rng.gen_bool((VERIFIERS / up).min(1.0)) {
            self.verify_directly(now, target);
        }
    }

    fn verify_directly(&mut self, now: Millis, target: Member) {
        self.probe(now, target);
        if let Some(entry) = self.table.entries.get_mut(usize::from(target.0)) {
            entry.probed = self.probes.under_way(target);
        }
    }

    fn probes_due(&mut self, now: Millis) {
        let (again, failed) = self.probes.due(now);
        for probe in again {
            let first = self.correction(now, probe.target, 0);
            self.out.push_back(Outgoing {
                to: probe.target,
                kind: Kind::Ping,
                about: None,
                first,
                bare: true,
            });
            if self.probes.needs_indirect(&probe) && self.budget.may_answer(now) {
                for helper in self.random_members(INDIRECT_PROBES, probe.target) {
                    let about = Some(About {
                        member: probe.target.0,
                        age: 0,
                    });
                    self.out.push_back(Outgoing {
                        to: helper,
                        kind: Kind::PingRequest,
                        about,
                        first: Vec::new(),
                        bare: true,
                    });
                }
            }
        }
        for probe in failed {
            self.probe_failed(now, &probe);
        }
    }

    /// Suspects the member that a probe got no answer from.
    fn probe_failed(&mut self, now: Millis, probe: &Probe) {
        let entry = &mut self.table.entries[usize::from(probe.target.0)];
        // One that was probed as a stranger and came up since has not been probed as a member.
        let member = entry.status == Some(Status::Up) && entry.since < probe.started;
        if !member || entry.last_alive >= probe.started {
            return;
        }
        (entry.status, entry.since) = (Some(Status::Suspect), now);
        (entry.verified, entry.probed) = (true, false);
        self.counters.suspected += 1;
        // A replica that receives nothing is likely the isolated one, and suspects nobody publicly.
        if now - self.last_received >= SILENT / 2.0 {
            return;
        }
        self.announce(now, probe.target, true);
        self.send(probe.target, Kind::Gossip, true);
        if !self.probes.likely_isolated() {
            self.verify_directly(now, probe.target);
        }
    }

    /// Verifies suspicions that were only received, and ends those that have timed out.
    fn suspects_due(&mut self, now: Millis) {
        for at in 0..self.table.entries.len() {
            let entry = &mut self.table.entries[at];
            if entry.status != Some(Status::Suspect) {
                continue;
            }
            let member = Member(at as u16);
            if !entry.verified {
                if now >= entry.since + VERIFY_AFTER {
                    entry.verified = true;
                    self.verify(now, member);
                }
            } else if now >= entry.since + suspicion_timeout(entry, &self.probes)
                && !self.probes.under_way(member)
            {
                if !entry.probed && !self.probes.likely_isolated() {
                    // Nobody has declared it gone, and it was not probed, for want of budget or of a turn.
                    entry.since = now - VERIFY_AFTER;
                    self.verify_directly(now, member);
                    continue;
                }
                self.declare_gone(now, member);
            }
        }
    }

    fn declare_gone(&mut self, now: Millis, member: Member) {
        let incarnation = self.table.entries[usize::from(member.0)].incarnation;
        self.table.set(now, member, Status::Gone, incarnation);
        self.counters.gone += 1;
        self.changed = true;
        if now - self.last_received < SILENT / 2.0 {
            let many = self.probes.likely_isolated();
            self.announce(now, member, !many);
        }
    }

    /// Gossips urgent updates to a few members, if the budget allows.
    fn gossip_round(&mut self, now: Millis) {
        if !self.gossip.urgent() && self.rounds == 0 {
            self.next_round = None;
            return;
        }
        // A refutation must arrive before the suspicion times out.
        let own = self.gossip.urgent_of(self.own) && self.budget.may_answer(now);
        if !own && (!self.budget.has_credit(now)) {
            self.next_round = Some(now + ROUND_INTERVAL);
            return;
        }
        let urgent: Vec<Member> = self
            .gossip
            .next(true)
            .into_iter()
            .take(MAX_URGENT_RECORDS)
            .collect();
        // Where there are many updates, others gossip most of them as well.
        let fanout = if urgent.len() < MAX_URGENT_RECORDS / 2 && !self.probes.likely_isolated() {
            GOSSIP_FANOUT
        } else {
            1
        };
        for to in self.random_members(fanout, self.own) {
            self.send(to, Kind::Gossip, true);
        }
        self.gossip.gossip_round(&urgent);
        self.rounds = self.rounds.saturating_sub(1);
        self.next_round = Some(
            now + if fanout == 1 {
                ROUND_INTERVAL / 4.0
            } else {
                ROUND_INTERVAL
            },
        );
    }
}
