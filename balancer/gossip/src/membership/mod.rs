//! Membership: SWIM with suspicion and incarnations, on a fixed list of candidates.
//!
//! Each replica probes one other member per period, alternately its successor in the list and the next of all members
//! in random order. A member that acknowledges neither the probe nor indirect probes by others becomes suspected, and
//! is declared failed if no evidence that it is alive arrives before the suspicion times out. A member that learns that
//! it is suspected or declared failed refutes this under a higher incarnation. A replica accepts an unknown member as
//! alive only once the member has acknowledged a probe of its own, so that no late datagram revives a failed member.
//!
//! Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol" (2002). This module is independent of version negotiation, loads and verdicts.
mod budget;
mod gossip;
mod probes;
mod receive;
mod table;
mod timers;

use std::collections::VecDeque;

use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use self::budget::Budget;
use self::gossip::GossipQueue;
use self::probes::Probes;
pub(crate) use self::receive::Sender;
use self::table::Table;
use crate::types::{Member, Millis};
use crate::wire::v1::{
    MemberUpdate, MembershipDigest, MessageKind, ProbeTarget, Status, SupportedVersions,
};

/// The time between two probes by a replica. One ping and one ack of 256 bytes per period are 1,829 bytes per second of
/// the budget's 2,500; the remainder is for gossip.
const PROTOCOL_PERIOD: Millis = 280.0;
/// The time from a suspicion to the declaration of failure. Gossip needs a third of a second to reach the suspect and
/// the same for its refutation; members that received neither have half of this time for a probe of their own.
pub(crate) const SUSPICION_TIMEOUT: Millis = 1_000.0;
/// The interval of probes of candidates that aren't up, so that partitions heal and new members are found.
const DISCOVERY_PERIOD: Millis = 1_000.0;
/// Candidates that a replica without known members probes per protocol period.
const LONE_DISCOVERY_PROBES: usize = 3;
/// Receivers of urgent updates per gossip round.
const GOSSIP_FANOUT: usize = 3;
/// The delay before urgent updates are sent, so that simultaneous changes share datagrams.
const GOSSIP_BATCH_DELAY: Millis = 5.0;
/// The time between two gossip rounds.
const GOSSIP_INTERVAL: Millis = 80.0;
/// A replica whose timer fires later than this was paused, so missing responses are no evidence against other members.
const MAX_TIMER_LATENESS: Millis = 200.0;
/// A replica that has received nothing for this long is isolated: about eight datagrams are expected in that time.
const ISOLATION_TIMEOUT: Millis = 1_000.0;
/// How long failed members still count as having been up. A longer partition is indistinguishable from failures.
const FAILURE_RETENTION: Millis = 300_000.0;
/// Limit of updates per datagram.
const MAX_UPDATES: usize = 24;
/// Limit of updates per datagram with a limited piggyback, except on gossip.
const MAX_LIMITED_UPDATES: usize = 4;
/// Members that are notified when this replica leaves.
const LEAVE_MESSAGES: usize = 8;

/// How much is piggybacked on a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Piggyback {
    /// Updates, digest, verdicts and loads, as far as they fit.
    Full,
    /// Only membership updates, and verdicts on gossip.
    UpdatesOnly,
}

impl Piggyback {
    /// `Full` if the send budget has credit.
    fn with_credit(has_credit: bool) -> Piggyback {
        if has_credit {
            Piggyback::Full
        } else {
            Piggyback::UpdatesOnly
        }
    }
}

/// A message to send, without piggybacked data other than its priority updates.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingMessage {
    pub to: Member,
    pub kind: MessageKind,
    pub target: Option<ProbeTarget>,
    /// Updates that are written ahead of all others.
    pub priority_updates: Vec<MemberUpdate>,
    pub piggyback: Piggyback,
}

/// Supported versions of a member, as another member relayed them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayedVersions {
    pub member: Member,
    /// Zero if unknown.
    pub incarnation: u64,
    pub supported_versions: SupportedVersions,
}

/// Members suspected and declared failed since the start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counters {
    pub suspected: u64,
    pub failed: u64,
}

/// The membership state machine.
#[derive(Debug)]
pub(crate) struct Membership {
    own: Member,
    incarnation: u64,
    table: Table,
    gossip: GossipQueue,
    probes: Probes,
    pub budget: Budget,
    rng: Pcg64Mcg,
    /// Members still to be probed in the current random order, in reverse.
    probe_order: Vec<Member>,
    /// Members to probe because they have sent a datagram and aren't known to be up.
    unknown_members: VecDeque<Member>,
    /// Whether the last protocol period probed the successor in the list.
    successor_turn: bool,
    next_probe: Millis,
    next_discovery: Millis,
    next_gossip_round: Option<Millis>,
    /// Remaining gossip rounds for verdicts.
    verdict_rounds: u8,
    start: Millis,
    last_received: Millis,
    /// The highest number of recently failed members reported by another replica, and the time of the report.
    reported_failures: (u16, Millis),
    /// The times at which this replica raised its incarnation because others knew a higher one.
    refutations: VecDeque<Millis>,
    refutations_paused_until: Millis,
    duplicate: bool,
    departed: bool,
    outbox: VecDeque<OutgoingMessage>,
    pub counters: Counters,
    changed: bool,
    /// Members whose restart was newly detected.
    pub restarted: Vec<Member>,
    /// Newly relayed versions, until they are taken.
    pub relayed_versions: Vec<RelayedVersions>,
}

impl Membership {
    pub(crate) fn new(
        own: Member,
        candidates: u16,
        incarnation: u64,
        supported_versions: SupportedVersions,
        rng: Pcg64Mcg,
        now: Millis,
    ) -> Membership {
        Membership {
            own,
            incarnation,
            table: Table::new(own, candidates, supported_versions, now),
            gossip: GossipQueue::default(),
            probes: Probes::default(),
            budget: Budget::new(now),
            rng,
            probe_order: Vec::new(),
            unknown_members: VecDeque::new(),
            successor_turn: false,
            next_probe: now,
            next_discovery: now,
            next_gossip_round: None,
            verdict_rounds: 0,
            start: now,
            last_received: f64::NEG_INFINITY,
            reported_failures: (0, f64::NEG_INFINITY),
            refutations: VecDeque::new(),
            refutations_paused_until: f64::NEG_INFINITY,
            duplicate: false,
            departed: false,
            outbox: VecDeque::new(),
            counters: Counters::default(),
            changed: true,
            restarted: Vec::new(),
            relayed_versions: Vec::new(),
        }
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Members that are up, including suspected ones and this replica.
    pub(crate) fn up(&self) -> Vec<Member> {
        self.table.up()
    }

    /// Whether the members that are up may have changed since the last call.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether another process was newly detected at this replica's position in the list.
    pub(crate) fn take_duplicate(&mut self) -> bool {
        std::mem::take(&mut self.duplicate)
    }

    /// Whether this incarnation of a member is not known to have ended.
    pub(crate) fn is_current(&self, member: Member, incarnation: u64) -> bool {
        self.table
            .get(member)
            .is_some_and(|entry| entry.is_current(incarnation))
    }

    /// Whether a member is up, including suspected.
    pub(crate) fn is_up(&self, member: Member) -> bool {
        self.table.get(member).is_some_and(|entry| entry.up())
    }

    /// The number of recently failed members, which is reported to others.
    pub(crate) fn recent_failures(&self, now: Millis) -> u16 {
        let failed = |entry: &&table::Entry| {
            entry.status == Some(Status::Failed) && now - entry.since < FAILURE_RETENTION
        };
        self.table
            .entries
            .iter()
            .filter(failed)
            .count()
            .min(usize::from(u16::MAX)) as u16
    }

    /// Whether more than half of the members that were up are known to be alive.
    pub(crate) fn has_joined(&self, now: Millis) -> bool {
        if self.table.entries.len() == 1 {
            return true;
        }
        // Suspected members don't count as alive; recently failed members count as having been up.
        let up = self.table.up().len();
        let unsuspected = self.table.unsuspected().len();
        let (reported, reported_at) = self.reported_failures;
        let is_report_recent =
            now - self.start < FAILURE_RETENTION && now - reported_at < 2.0 * ISOLATION_TIMEOUT;
        let reported = if is_report_recent { reported } else { 0 };
        let recent_failures = self.recent_failures(now).max(reported);
        let alive_count = unsuspected as f64 * self.probes.acknowledged_ratio();
        up > 1
            && alive_count * 2.0 > (up + usize::from(recent_failures)) as f64
            && now - self.last_received < ISOLATION_TIMEOUT
    }

    /// Schedules gossip rounds for new verdicts.
    pub(crate) fn disseminate(&mut self, now: Millis) {
        self.verdict_rounds = gossip::GOSSIP_ROUNDS;
        self.schedule_gossip_round(now + GOSSIP_BATCH_DELAY);
    }

    fn schedule_gossip_round(&mut self, at: Millis) {
        self.next_gossip_round = Some(self.next_gossip_round.map_or(at, |next| next.min(at)));
    }

    /// Queues an update on a member; if `urgent`, it is also gossiped at once.
    fn announce(&mut self, now: Millis, member: Member, urgent: bool) {
        let up = self.table.up().len();
        let rounds = if self.probes.likely_isolated() {
            1
        } else {
            gossip::GOSSIP_ROUNDS
        };
        self.gossip.add(member, up, if urgent { rounds } else { 0 });
        if urgent {
            self.schedule_gossip_round(now + GOSSIP_BATCH_DELAY);
        }
    }

    fn send(&mut self, to: Member, kind: MessageKind, piggyback: Piggyback) {
        self.outbox.push_back(OutgoingMessage {
            to,
            kind,
            target: None,
            priority_updates: Vec::new(),
            piggyback,
        });
    }

    /// Queues a message with priority updates and a limited piggyback.
    fn send_with_updates(&mut self, to: Member, kind: MessageKind, updates: Vec<MemberUpdate>) {
        self.outbox.push_back(OutgoingMessage {
            to,
            kind,
            target: None,
            priority_updates: updates,
            piggyback: Piggyback::UpdatesOnly,
        });
    }

    pub(crate) fn poll_message(&mut self) -> Option<OutgoingMessage> {
        self.outbox.pop_front()
    }

    /// The updates for a datagram, the most urgent first.
    pub(crate) fn updates(&self, now: Millis, message: &OutgoingMessage) -> Vec<MemberUpdate> {
        let is_gossip = message.kind == MessageKind::Gossip;
        // When many members are suspected, an acknowledgement at least reaches a live one.
        let is_ack_to_live = message.kind == MessageKind::Ack && self.probes.likely_isolated();
        let is_limited =
            message.piggyback == Piggyback::UpdatesOnly && !is_gossip && !is_ack_to_live;
        let max_count = if is_limited {
            MAX_LIMITED_UPDATES
        } else {
            MAX_UPDATES
        };
        let members = self.gossip.pending(is_gossip).into_iter();
        let members = members.filter(|member| {
            message
                .priority_updates
                .iter()
                .all(|update| update.member != member.0)
        });
        let updates =
            members.filter_map(|member| self.table.update_on(now, member, self.incarnation));
        let mut updates: Vec<MemberUpdate> = updates.take(max_count).collect();
        // This replica's own update first, then those on members that are up, so that refutations precede suspicions.
        updates.sort_by_key(|update| (update.member != self.own.0, update.status != Status::Up));
        [message.priority_updates.clone(), updates].concat()
    }

    /// Records that these updates were written into a datagram.
    pub(crate) fn on_updates_written(&mut self, updates: &[MemberUpdate]) {
        self.gossip
            .on_sent(updates.iter().map(|update| Member(update.member)));
    }

    /// A digest of who is up.
    pub(crate) fn digest(&mut self) -> MembershipDigest {
        self.table.digest()
    }

    /// Up to `max_count` random members that are up, except this replica and `excluded`.
    fn random_members(&mut self, max_count: usize, excluded: Member) -> Vec<Member> {
        let (own, entries) = (self.own, &self.table.entries);
        let up = |entry: &table::Entry| entry.status == Some(Status::Up);
        let members = entries.iter().enumerate().filter(|(_, entry)| up(entry));
        let others = members
            .map(|(at, _)| Member(at as u16))
            .filter(|member| ![own, excluded].contains(member));
        let mut others: Vec<Member> = others.collect();
        others.partial_shuffle(&mut self.rng, max_count).0.to_vec()
    }

    /// Notifies some members that this replica leaves; it sends nothing afterwards.
    pub(crate) fn leave(&mut self, now: Millis) {
        self.table
            .set(now, self.own, Status::Left, self.incarnation);
        self.outbox.clear();
        let update = self.table.update_on(now, self.own, self.incarnation);
        for to in self.random_members(LEAVE_MESSAGES, self.own) {
            self.send_with_updates(to, MessageKind::Gossip, update.into_iter().collect());
        }
        self.departed = true;
    }
}
