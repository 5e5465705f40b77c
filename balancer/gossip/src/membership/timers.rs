//! Timers of the membership: probes, suspicion timeouts, discovery of members that aren't up, and gossip rounds.
use rand::seq::SliceRandom;
use rand::Rng;

use super::probes::{Probe, Probes, Purpose};
use super::table::{Entry, VERIFICATION_DELAY};
use super::{
    Membership, OutgoingMessage, Piggyback, DISCOVERY_PERIOD, GOSSIP_FANOUT, GOSSIP_INTERVAL,
    ISOLATION_TIMEOUT, LONE_DISCOVERY_PROBES, MAX_TIMER_LATENESS, PROTOCOL_PERIOD,
    SUSPICION_TIMEOUT,
};
use crate::types::{Member, Millis};
use crate::wire::v1::{MessageKind, ProbeTarget, Status};

/// Members that are requested to probe a target indirectly.
const INDIRECT_PROBES: usize = 3;
/// Additional probes per protocol period while this replica is likely isolated.
const EXTRA_PROBES: usize = 3;
/// The expected number of members that verify a suspicion which they only received.
const EXPECTED_VERIFIERS: f64 = 64.0;
/// Limit of urgent updates per gossip round: the number that fits into one datagram.
const MAX_URGENT_UPDATES: usize = 14;
/// Limit of unknown members probed at once.
const MAX_UNKNOWN_PROBES: usize = 3;

/// The timeout of a suspicion. It is longer at a replica that has not probed the member itself, so that replicas which
/// have probed it decide first, except when many members are suspected, which can't all be probed. On a lossy network
/// it doubles.
fn suspicion_timeout(entry: &Entry, probes: &Probes) -> Millis {
    let factor = if entry.probed || probes.likely_isolated() {
        1.0
    } else {
        2.0
    };
    SUSPICION_TIMEOUT * factor * if probes.is_lossy() { 2.0 } else { 1.0 }
}

impl Membership {
    /// The time at which [`Membership::on_timeout`] is to be called next.
    pub(crate) fn next_timeout(&self) -> Option<Millis> {
        if self.departed {
            return None;
        }
        let probes = self.probes.all.iter().map(|probe| probe.deadline);
        let suspects = self.table.entries.iter().enumerate();
        let suspects = suspects.filter(|(_, entry)| entry.status == Some(Status::Suspect));
        // A suspicion does not time out while its member is being probed.
        let suspects = suspects.filter_map(|(at, entry)| {
            if !entry.verified {
                Some(entry.since + VERIFICATION_DELAY)
            } else if self.probes.is_in_flight(Member(at as u16)) {
                None
            } else {
                Some(entry.since + suspicion_timeout(entry, &self.probes))
            }
        });
        let earliest = probes
            .chain(suspects)
            .chain(self.next_gossip_round)
            .fold(f64::INFINITY, f64::min);
        Some(earliest.min(self.next_probe).min(self.next_discovery))
    }

    /// Detects a pause of this replica. Probes in flight are dropped, and suspicions are extended by the length of the
    /// pause.
    pub(crate) fn detect_pause(&mut self, now: Millis) {
        let Some(late) = self
            .next_timeout()
            .map(|timeout| now - timeout)
            .filter(|late| *late > MAX_TIMER_LATENESS)
        else {
            return;
        };
        self.probes.clear();
        for entry in &mut self.table.entries {
            if entry.status == Some(Status::Suspect) {
                entry.since = (entry.since + late).min(now);
            }
        }
        self.next_probe = now;
        self.next_discovery = self.next_discovery.max(now);
        self.next_gossip_round = self.next_gossip_round.map(|at| at.max(now));
    }

    /// Handles all timers that have expired.
    pub(crate) fn on_timeout(&mut self, now: Millis) {
        if self.departed {
            return;
        }
        self.handle_probe_timeouts(now);
        self.handle_suspicion_timeouts(now);
        if now >= self.next_probe {
            self.next_probe = now + PROTOCOL_PERIOD * self.rng.gen_range(0.9..1.1);
            self.begin_protocol_period(now);
        }
        if now >= self.next_discovery {
            self.next_discovery = now + DISCOVERY_PERIOD * self.rng.gen_range(0.9..1.1);
            self.discover(now, 1);
        }
        if self.next_gossip_round.is_some_and(|at| now >= at) {
            self.send_gossip_round(now);
        }
    }

    /// Begins a protocol period: probes one member, and more if many don't acknowledge.
    fn begin_protocol_period(&mut self, now: Millis) {
        let up = self.table.unsuspected();
        if up.len() <= 1 {
            self.discover(now, LONE_DISCOVERY_PROBES);
        }
        // If many probes fail, many members have failed at once or this replica is isolated; additional probes decide
        // sooner which it is.
        let extra_probes = if self.probes.likely_isolated() {
            EXTRA_PROBES
        } else {
            0
        };
        for _ in 0..extra_probes {
            let target = self.next_in_probe_order(&up);
            let Some(target) = target.filter(|_| self.budget.allows_response(now)) else {
                continue;
            };
            if self.probes.begin(now, target, Purpose::RandomOrder) {
                self.send(target, MessageKind::Ping, Piggyback::UpdatesOnly);
            }
        }
        self.successor_turn = !self.successor_turn && extra_probes == 0;
        let (target, purpose) = if self.successor_turn {
            (self.successor(&up), Purpose::Successor)
        } else {
            (self.next_in_probe_order(&up), Purpose::RandomOrder)
        };
        if let Some(target) = target {
            self.probes.begin(now, target, purpose);
            // Piggybacked data is reduced if updates have exhausted the budget.
            let piggyback = Piggyback::with_credit(self.budget.has_credit(now));
            self.send(target, MessageKind::Ping, piggyback);
        }
    }

    /// The next member in the order of the list. As each replica probes its successor in every other period, each
    /// member is probed at least that often.
    fn successor(&self, up: &[Member]) -> Option<Member> {
        let next = up.iter().find(|member| **member > self.own).or(up.first());
        next.copied().filter(|member| *member != self.own)
    }

    /// The next member in a random order of all members.
    fn next_in_probe_order(&mut self, up: &[Member]) -> Option<Member> {
        for _ in 0..2 {
            while let Some(member) = self.probe_order.pop() {
                if member != self.own && up.contains(&member) {
                    return Some(member);
                }
            }
            self.probe_order = up.to_vec();
            self.probe_order.shuffle(&mut self.rng);
        }
        None
    }

    /// Probes candidates that aren't up: unknown members that have sent a datagram, or else random ones.
    fn discover(&mut self, now: Millis, count: usize) {
        let mut targets: Vec<Member> = Vec::new();
        while let Some(member) = self
            .unknown_members
            .pop_front()
            .filter(|_| targets.len() < MAX_UNKNOWN_PROBES)
        {
            if !self.is_up(member) {
                targets.push(member);
            }
        }
        if !self.unknown_members.is_empty() {
            self.next_discovery = self.next_discovery.min(now + GOSSIP_INTERVAL);
        }
        if targets.is_empty() {
            let entries = self.table.entries.iter().enumerate();
            let absent = entries
                .filter(|(_, entry)| !entry.up())
                .map(|(at, _)| Member(at as u16));
            let mut absent: Vec<Member> = absent.collect();
            targets = absent.partial_shuffle(&mut self.rng, count).0.to_vec();
        }
        for target in targets {
            self.probe(now, target);
        }
    }

    /// Probes a member in addition to the regular probes, if the budget allows.
    pub(crate) fn probe(&mut self, now: Millis, target: Member) {
        if target != self.own
            && self.budget.has_credit(now)
            && self.probes.begin(now, target, Purpose::Suspect)
        {
            // Includes the known update on the member, so that its response can refute it.
            let priority_updates = self.correction(now, target, 0);
            self.send_with_updates(target, MessageKind::Ping, priority_updates);
        }
    }

    /// Probes a member that others report as suspected or failed. Only a random subset of the replicas does so, to
    /// limit the load on the member.
    pub(super) fn verify(&mut self, now: Millis, target: Member) {
        let up = self.table.up().len() as f64;
        if !self.probes.likely_isolated() && self.rng.gen_bool((EXPECTED_VERIFIERS / up).min(1.0)) {
            self.verify_directly(now, target);
        }
    }

    fn verify_directly(&mut self, now: Millis, target: Member) {
        self.probe(now, target);
        if let Some(entry) = self.table.entries.get_mut(usize::from(target.0)) {
            entry.probed = self.probes.is_in_flight(target);
        }
    }

    fn handle_probe_timeouts(&mut self, now: Millis) {
        let timed_out = self.probes.on_timeout(now);
        for probe in timed_out.retried {
            let updates = self.correction(now, probe.target, 0);
            self.send_with_updates(probe.target, MessageKind::Ping, updates);
            if self.probes.needs_indirect(&probe) && self.budget.allows_response(now) {
                self.request_indirect_probes(probe.target);
            }
        }
        for probe in timed_out.failed {
            self.on_probe_failed(now, &probe);
        }
    }

    /// Requests indirect probes of a member from a few other members.
    fn request_indirect_probes(&mut self, target: Member) {
        for intermediary in self.random_members(INDIRECT_PROBES, target) {
            let target = Some(ProbeTarget {
                member: target.0,
                age: 0,
            });
            self.outbox.push_back(OutgoingMessage {
                to: intermediary,
                kind: MessageKind::PingRequest,
                target,
                priority_updates: Vec::new(),
                piggyback: Piggyback::UpdatesOnly,
            });
        }
    }

    /// Suspects the member whose probe was not acknowledged.
    fn on_probe_failed(&mut self, now: Millis, probe: &Probe) {
        let entry = &mut self.table.entries[usize::from(probe.target.0)];
        // A failed probe counts only for a member that was already up when the probe began.
        let member = entry.status == Some(Status::Up) && entry.since < probe.started;
        if !member || entry.last_alive >= probe.started {
            return;
        }
        (entry.status, entry.since) = (Some(Status::Suspect), now);
        (entry.verified, entry.probed) = (true, false);
        self.counters.suspected += 1;
        // A replica that receives nothing is likely isolated itself, so it does not announce the suspicion.
        if now - self.last_received >= ISOLATION_TIMEOUT / 2.0 {
            return;
        }
        self.announce(now, probe.target, true);
        self.send(probe.target, MessageKind::Gossip, Piggyback::UpdatesOnly);
        if !self.probes.likely_isolated() {
            self.verify_directly(now, probe.target);
        }
    }

    /// Verifies suspicions that were only received, and declares members failed whose suspicions have timed out.
    fn handle_suspicion_timeouts(&mut self, now: Millis) {
        for at in 0..self.table.entries.len() {
            let entry = &mut self.table.entries[at];
            if entry.status != Some(Status::Suspect) {
                continue;
            }
            let member = Member(at as u16);
            if !entry.verified {
                if now >= entry.since + VERIFICATION_DELAY {
                    entry.verified = true;
                    self.verify(now, member);
                }
            } else if now >= entry.since + suspicion_timeout(entry, &self.probes)
                && !self.probes.is_in_flight(member)
            {
                if !entry.probed && !self.probes.likely_isolated() {
                    // No replica has declared it failed, and this one has not probed it, for lack of budget or because
                    // verification was left to others.
                    entry.since = now - VERIFICATION_DELAY;
                    self.verify_directly(now, member);
                    continue;
                }
                self.declare_failed(now, member);
            }
        }
    }

    fn declare_failed(&mut self, now: Millis, member: Member) {
        let incarnation = self.table.entries[usize::from(member.0)].incarnation;
        self.table.set(now, member, Status::Failed, incarnation);
        self.counters.failed += 1;
        self.changed = true;
        if now - self.last_received < ISOLATION_TIMEOUT / 2.0 {
            let many = self.probes.likely_isolated();
            self.announce(now, member, !many);
        }
    }

    /// Gossips urgent updates to a few members, if the budget allows.
    fn send_gossip_round(&mut self, now: Millis) {
        if !self.gossip.has_urgent() && self.verdict_rounds == 0 {
            self.next_gossip_round = None;
            return;
        }
        // A refutation may overdraw the budget, as it must arrive before the suspicion times out.
        let has_refutation = self.gossip.is_urgent(self.own) && self.budget.allows_response(now);
        if !has_refutation && !self.budget.has_credit(now) {
            self.next_gossip_round = Some(now + GOSSIP_INTERVAL);
            return;
        }
        let urgent: Vec<Member> = self
            .gossip
            .pending(true)
            .into_iter()
            .take(MAX_URGENT_UPDATES)
            .collect();
        // With many urgent updates, other replicas gossip most of them as well.
        let fanout = if urgent.len() < MAX_URGENT_UPDATES / 2 && !self.probes.likely_isolated() {
            GOSSIP_FANOUT
        } else {
            1
        };
        for to in self.random_members(fanout, self.own) {
            self.send(to, MessageKind::Gossip, Piggyback::UpdatesOnly);
        }
        self.gossip.on_round_sent(&urgent);
        self.verdict_rounds = self.verdict_rounds.saturating_sub(1);
        let interval = if fanout == 1 {
            GOSSIP_INTERVAL / 4.0
        } else {
            GOSSIP_INTERVAL
        };
        self.next_gossip_round = Some(now + interval);
    }
}
