//! Membership: SWIM with suspicion and incarnations, on a fixed list of candidates.
//!
//! Each replica probes one other in each period, by turns its successor in the list and one of all in random order. A
//! member that answers neither the probe nor indirect probes of others is suspected, and gone if no evidence of its
//! life arrives while the suspicion lasts. A member that learns that it is suspected, or gone, refutes it under a
//! higher incarnation. Only an answer to its own probe proves to a replica that a stranger lives, so that no late
//! datagram brings back the dead.
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
use self::table::Table;
use crate::types::{Member, Millis};
use crate::wire::v1::{About, Kind, Reads, Record, Status, View};

/// How often a replica probes another, and so how many datagrams it sends and is owed: as many pings and acks of 256
/// bytes are 1,829 a second of the 2,500 bytes of the budget, and the rest is for gossip.
const PERIOD: Millis = 280.0;
/// How long a suspicion lasts before the member is gone. Gossip needs a third of a second to reach the suspect and as
/// much back; half of it is left for those that missed both to probe for themselves.
pub(crate) const SUSPICION: Millis = 1_000.0;
/// How often a candidate that isn't up is probed, so that halves and newcomers find each other.
const DISCOVERY_PERIOD: Millis = 1_000.0;
/// How many candidates a replica that knows nobody probes in each period.
const DISCOVERY_ALONE: usize = 3;
/// Members that urgent updates are sent to in each gossip round.
const GOSSIP_FANOUT: usize = 3;
/// Urgent updates wait this long for further ones, so that many changes at once share datagrams.
const GATHER_DELAY: Millis = 5.0;
/// Between two gossip rounds.
const ROUND_INTERVAL: Millis = 80.0;
/// A replica whose timer is this late was not running: what it waited for proves nothing about others.
const MAX_TIMER_LATENESS: Millis = 200.0;
/// A replica that received nothing for so long is not joined: it should have had eight datagrams.
const SILENT: Millis = 1_000.0;
/// Members that went without taking leave count among those that were up for so long. A longer partition can't be
/// distinguished from deaths.
const REMEMBERED: Millis = 300_000.0;
/// Updates that one datagram carries at most, and one that has little space.
const MAX_RECORDS: usize = 24;
const BARE_RECORDS: usize = 4;
/// Members that are notified of an orderly leave.
const LEAVE_MESSAGES: usize = 8;

/// A datagram to send, without what is piggybacked on it.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub to: Member,
    pub kind: Kind,
    pub about: Option<About>,
    /// Sent before other updates.
    pub first: Vec<Record>,
    /// Whether nothing but membership updates and verdicts is piggybacked on it.
    pub bare: bool,
}

/// What is counted here.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counters {
    pub suspected: u64,
    pub gone: u64,
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
    /// Members that are still to be probed in this round.
    round: Vec<Member>,
    /// Strangers that have sent something, to be probed.
    strangers: VecDeque<Member>,
    successor: bool,
    next_probe: Millis,
    next_discovery: Millis,
    next_round: Option<Millis>,
    /// Gossip rounds that verdicts have asked for.
    rounds: u8,
    start: Millis,
    last_received: Millis,
    /// The most lost members that another reported, and when.
    lost_reported: (u16, Millis),
    /// When a higher incarnation of this replica that others knew made it raise its own.
    refutations: VecDeque<Millis>,
    quiet_until: Millis,
    duplicate: bool,
    departed: bool,
    out: VecDeque<Outgoing>,
    pub counters: Counters,
    changed: bool,
    /// Members that were found to be in a new run.
    pub restarted: Vec<Member>,
    /// What others relayed of the versions that members read: the member, its incarnation, its versions.
    pub announced: Vec<(Member, u64, Reads)>,
}

impl Membership {
    pub(crate) fn new(
        own: Member,
        candidates: u16,
        incarnation: u64,
        reads: Reads,
        rng: Pcg64Mcg,
        now: Millis,
    ) -> Membership {
        Membership {
            own,
            incarnation,
            table: Table::new(own, candidates, reads, now),
            gossip: GossipQueue::default(),
            probes: Probes::default(),
            budget: Budget::new(now),
            rng,
            round: Vec::new(),
            strangers: VecDeque::new(),
            successor: false,
            next_probe: now,
            next_discovery: now,
            next_round: None,
            rounds: 0,
            start: now,
            last_received: f64::NEG_INFINITY,
            lost_reported: (0, f64::NEG_INFINITY),
            refutations: VecDeque::new(),
            quiet_until: f64::NEG_INFINITY,
            duplicate: false,
            departed: false,
            out: VecDeque::new(),
            counters: Counters::default(),
            changed: true,
            restarted: Vec::new(),
            announced: Vec::new(),
        }
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(crate) fn up(&self) -> Vec<Member> {
        self.table.up()
    }

    /// Whether the members that are up may have changed since this was asked last.
    pub(crate) fn changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Whether another process was newly found to use this replica's place.
    pub(crate) fn duplicate(&mut self) -> bool {
        std::mem::take(&mut self.duplicate)
    }

    /// Whether a datagram of this incarnation comes from a run that isn't known to be over.
    pub(crate) fn current(&self, member: Member, incarnation: u64) -> bool {
        self.table
            .get(member)
            .is_some_and(|entry| entry.current(incarnation))
    }

    pub(crate) fn is_up(&self, member: Member) -> bool {
        self.table.get(member).is_some_and(|entry| entry.up())
    }

    /// Members lately gone without leave, for others to know.
    pub(crate) fn lost(&self, now: Millis) -> u16 {
        let gone = |entry: &&table::Entry| {
            entry.status == Some(Status::Gone) && now - entry.since < REMEMBERED
        };
        self.table
            .entries
            .iter()
            .filter(gone)
            .count()
            .min(usize::from(u16::MAX)) as u16
    }

    /// Whether more than half of the members that were up are known to be alive.
    pub(crate) fn joined(&self, now: Millis) -> bool {
        if self.table.entries.len() == 1 {
            return true;
        }
        // A suspected member doesn't count as alive, and one that is gone lately was up.
        let (up, sure) = (self.table.up().len(), self.table.unsuspected().len());
        let young = now - self.start < REMEMBERED && now - self.lost_reported.1 < 2.0 * SILENT;
        let lost = self
            .lost(now)
            .max(if young { self.lost_reported.0 } else { 0 });
        let living = sure as f64 * self.probes.answered();
        up > 1
            && living * 2.0 > (up + usize::from(lost)) as f64
            && now - self.last_received < SILENT
    }

    /// Starts gossip rounds at once, as for new verdicts.
    pub(crate) fn disseminate(&mut self, now: Millis) {
        self.rounds = gossip::GOSSIP_ROUNDS;
        self.round_at(now + GATHER_DELAY);
    }

    fn round_at(&mut self, at: Millis) {
        self.next_round = Some(self.next_round.map_or(at, |next| next.min(at)));
    }

    /// Queues an update on a member: for gossip at once where `urgent`.
    fn announce(&mut self, now: Millis, member: Member, urgent: bool) {
        let up = self.table.up().len();
        let rounds = if self.probes.likely_isolated() {
            1
        } else {
            gossip::GOSSIP_ROUNDS
        };
        self.gossip.add(member, up, if urgent { rounds } else { 0 });
        if urgent {
            self.round_at(now + GATHER_DELAY);
        }
    }

    fn send(&mut self, to: Member, kind: Kind, bare: bool) {
        self.out.push_back(Outgoing {
            to,
            kind,
            about: None,
            first: Vec::new(),
            bare,
        });
    }

    /// The next datagram to send.
    pub(crate) fn next(&mut self) -> Option<Outgoing> {
        self.out.pop_front()
    }

    /// The updates for a datagram, the most urgent first.
    pub(crate) fn records(&self, now: Millis, send: &Outgoing) -> Vec<Record> {
        let rumour = send.kind == Kind::Gossip;
        // Where many are suspected, answers at least go to a live member.
        let little =
            send.bare && !rumour && !(send.kind == Kind::Ack && self.probes.likely_isolated());
        let most = if little { BARE_RECORDS } else { MAX_RECORDS };
        let members = self.gossip.next(rumour).into_iter();
        let members =
            members.filter(|member| send.first.iter().all(|first| first.member != member.0));
        let records = members.filter_map(|member| self.table.record(now, member, self.incarnation));
        let mut records: Vec<Record> = records.take(most).collect();
        // Its own life first, then others', so that refutations overtake suspicions and not the other way round.
        records.sort_by_key(|record| (record.member != self.own.0, record.status != Status::Up));
        [send.first.clone(), records].concat()
    }

    /// These records were written into a datagram.
    pub(crate) fn sent(&mut self, records: &[Record]) {
        self.gossip
            .sent(records.iter().map(|record| Member(record.member)));
    }

    pub(crate) fn view(&mut self) -> View {
        self.table.view()
    }

    /// A few members that are up, other than this one, at random.
    fn random_members(&mut self, most: usize, without: Member) -> Vec<Member> {
        let (own, entries) = (self.own, &self.table.entries);
        let up = |entry: &table::Entry| entry.status == Some(Status::Up);
        let members = entries.iter().enumerate().filter(|(_, entry)| up(entry));
        let others = members
            .map(|(at, _)| Member(at as u16))
            .filter(|member| ![own, without].contains(member));
        let mut others: Vec<Member> = others.collect();
        others.partial_shuffle(&mut self.rng, most).0.to_vec()
    }

    /// Notifies some members of this replica's leave, after which it sends nothing more.
    pub(crate) fn leave(&mut self, now: Millis) {
        self.table
            .set(now, self.own, Status::Left, self.incarnation);
        self.out.clear();
        let record = self.table.record(now, self.own, self.incarnation);
        for to in self.random_members(LEAVE_MESSAGES, self.own) {
            let first = record.into_iter().collect();
            self.out.push_back(Outgoing {
                to,
                kind: Kind::Gossip,
                about: None,
                first,
                bare: true,
            });
        }
        self.departed = true;
    }
}
