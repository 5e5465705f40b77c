//! Who is there: heartbeats to a few monitors on a ring, and what others report.
use crate::settings::ControlSettings;
use magpiegap_protocol::{Heartbeat, Location, Member, Millis, PeerReport, Replica, WallMillis};
use std::collections::{BTreeMap, BTreeSet};

/// How many successors on the ring hear a replica's heartbeats.
const MONITORS: usize = 4;
/// A newcomer must have been heard for this long.
const SETTLE_MS: Millis = 150;
/// Reports on replicas that were not heard for this long are dropped.
const FORGET_MS: Millis = 30_000;

/// What is known of another replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    pub replica: Replica,
    pub first_heard: Millis,
    pub last_heard: Millis,
    pub view: u64,
    pub serving: bool,
    pub unfit: bool,
    /// Its disk had all that was committed up to that view.
    pub complete: bool,
    /// The newest entry that it knew to be committed.
    pub committed: u64,
    /// Where it stands.
    pub location: Location,
    /// When it last said that it hears us; `None`: it tells us nothing itself.
    pub hears_us: Option<Millis>,
    /// When it last told us something itself.
    pub direct: Option<Millis>,
    /// When its process was found to have ended; what was heard until then counts no more.
    pub gone_at: Option<Millis>,
    /// Its time of day less our steady clock.
    pub wall_offset: Option<i64>,
}

/// What a replica says of itself.
#[derive(Clone, Copy, Debug)]
struct Status {
    view: u64,
    serving: bool,
    unfit: bool,
    complete: bool,
    committed: u64,
    location: Location,
}

impl From<&Heartbeat> for Status {
    fn from(heartbeat: &Heartbeat) -> Status {
        let Heartbeat { view, serving, unfit, complete, committed, location, .. } = *heartbeat;
        Status { view, serving, unfit, complete, committed, location }
    }
}

impl From<&PeerReport> for Status {
    fn from(report: &PeerReport) -> Status {
        let PeerReport { view, serving, unfit, complete, committed, location, .. } = *report;
        Status { view, serving, unfit, complete, committed, location }
    }
}

/// All that is known of other replicas.
#[derive(Clone, Debug)]
pub(crate) struct Membership {
    own: Replica,
    suspect_ms: Millis,
    /// Addresses at which replicas may be found.
    addresses: BTreeSet<u32>,
    peers: BTreeMap<Member, Peer>,
    /// The addresses with which each member says to be connected both ways.
    connected: BTreeMap<Member, BTreeSet<u32>>,
}

impl Membership {
    pub fn new(settings: &ControlSettings) -> Membership {
        let addresses =
            settings.seeds.iter().copied().filter(|a| *a != settings.own.member.address).collect();
        Membership {
            own: settings.own,
            suspect_ms: settings.suspect_ms,
            addresses,
            peers: BTreeMap::new(),
            connected: BTreeMap::new(),
        }
    }

    /// Learns of an address.
    pub fn know(&mut self, address: u32) {
        if address != self.own.member.address {
            self.addresses.insert(address);
        }
    }

    /// Those that hear this replica's heartbeats: its successors on the ring of addresses.
    pub fn monitors(&self) -> Vec<u32> {
        let own = self.own.member.address;
        let after = self.addresses.range(own..);
        let before = self.addresses.range(..own);
        after.chain(before).copied().take(MONITORS).collect()
    }

    /// Takes a heartbeat. Returns whether it is the first one from this life of the replica.
    pub fn hear(&mut self, from: Replica, heartbeat: &Heartbeat, now: Millis) -> bool {
        let known =
            self.peers.get(&from.member).is_some_and(|peer| peer.replica == from && peer.direct.is_some());
        self.know(from.member.address);
        self.touch(from, now, heartbeat.into(), now);
        let own = self.own;
        let hears_us =
            heartbeat.heard.iter().find(|report| report.replica == own).map(|report| report.age_ms);
        let suspect_ms = self.suspect_ms;
        if let Some(peer) = self.peers.get_mut(&from.member) {
            peer.direct = Some(now);
            peer.wall_offset = Some(heartbeat.wall_ms as i64 - now as i64);
            if hears_us.is_some_and(|age| age < suspect_ms) {
                peer.hears_us = Some(now);
            }
        }
        let connected = heartbeat.heard.iter().filter(|report| report.both_ways);
        let connected = connected.map(|report| report.replica.member.address).collect();
        self.connected.insert(from.member, connected);
        for report in &heartbeat.heard {
            if report.replica.member != own.member && report.age_ms < suspect_ms {
                self.know(report.replica.member.address);
                let at = now.saturating_sub(report.age_ms);
                self.touch(report.replica, at, report.into(), now);
            }
        }
        !known
    }

    fn touch(&mut self, replica: Replica, at: Millis, status: Status, now: Millis) {
        let suspect_ms = self.suspect_ms;
        let Status { view, serving, unfit, complete, committed, location } = status;
        let fresh = Peer {
            replica,
            first_heard: now,
            last_heard: at,
            view,
            serving,
            unfit,
            complete,
            committed,
            location,
            hears_us: None,
            direct: None,
            gone_at: None,
            wall_offset: None,
        };
        let peer = self.peers.entry(replica.member).or_insert(fresh);
        if at < peer.last_heard {
            return;
        }
        if peer.replica != replica {
            *peer = fresh;
            return;
        }
        if at.saturating_sub(peer.last_heard) > suspect_ms {
            peer.first_heard = now;
        }
        peer.last_heard = at;
        peer.view = view;
        peer.serving = serving;
        peer.unfit = unfit;
        peer.complete = complete;
        peer.committed = committed;
        peer.location = location;
    }

    /// Whether a replica has been heard for long enough that it may be taken into a view.
    pub fn has_settled(peer: &Peer, now: Millis) -> bool {
        now.saturating_sub(peer.first_heard) >= SETTLE_MS
    }

    /// Reports for a heartbeat.
    pub fn reports(&self, now: Millis) -> Vec<PeerReport> {
        let report = |peer: &Peer| PeerReport {
            replica: peer.replica,
            age_ms: now.saturating_sub(peer.last_heard),
            view: peer.view,
            serving: peer.serving,
            unfit: peer.unfit,
            complete: peer.complete,
            committed: peer.committed,
            location: peer.location,
            both_ways: self.is_connected(peer, now),
        };
        self.peers.values().map(report).collect()
    }

    /// The replicas that are heard and hear this one, without this one.
    pub fn heard(&self, now: Millis) -> Vec<Peer> {
        let both_ways = |peer: &Peer| match self.is_recent(peer.direct, now) {
            true => self.is_connected(peer, now),
            // Heard of from others only: those it tells nothing itself, since it has other monitors.
            false => !self.all_hear_each_other(),
        };
        let heard = |peer: &&Peer| {
            now.saturating_sub(peer.last_heard) <= self.suspect_ms
                && peer.gone_at.is_none_or(|gone| peer.last_heard > gone)
                && both_ways(peer)
        };
        let mut newest: BTreeMap<u32, Peer> = BTreeMap::new();
        for peer in self.peers.values().filter(heard) {
            let known = newest.entry(peer.replica.member.address).or_insert(*peer);
            if peer.last_heard > known.last_heard {
                *known = *peer;
            }
        }
        newest.into_values().collect()
    }

    /// Whether the ring is so small that everyone monitors everyone.
    fn all_hear_each_other(&self) -> bool {
        self.addresses.len() <= MONITORS
    }

    /// Whether something happened, and not so long ago that a replica counts as gone.
    fn is_recent(&self, at: Option<Millis>, now: Millis) -> bool {
        at.is_some_and(|at| now.saturating_sub(at) <= self.suspect_ms)
    }

    /// Whether a peer and this replica hear each other.
    fn is_connected(&self, peer: &Peer, now: Millis) -> bool {
        self.is_recent(peer.direct, now) && self.is_recent(peer.hears_us, now)
    }

    /// Whether a member says that it and all of the others hear each other. In a large ring that can't be told.
    pub fn says_connected(&self, member: &Member, others: &[Replica]) -> bool {
        let connected = self.connected.get(member);
        let hears = |other: &Replica| {
            let address = other.member.address;
            // That this replica and it hear each other is known here.
            address == self.own.member.address
                || address == member.address
                || connected.is_some_and(|connected| connected.contains(&address))
        };
        !self.all_hear_each_other() || others.iter().all(hears)
    }

    /// What is known of a member.
    pub fn peer(&self, member: &Member) -> Option<&Peer> {
        self.peers.get(member)
    }

    /// The middle one of the times of day of all that are heard, with this replica's own.
    pub fn median_wall(&self, own_wall: WallMillis, now: Millis) -> WallMillis {
        let recent =
            |peer: &&Peer| peer.direct.is_some_and(|at| now.saturating_sub(at) <= 2 * self.suspect_ms);
        let heard = self.peers.values().filter(recent).filter_map(|peer| peer.wall_offset);
        let mut walls: Vec<i64> = heard.map(|offset| offset + now as i64).collect();
        walls.push(own_wall as i64);
        walls.sort_unstable();
        let lower = walls[(walls.len() - 1) / 2];
        u64::try_from(lower).unwrap_or(0)
    }

    /// Whether this very process was heard lately.
    pub fn is_heard(&self, replica: &Replica, now: Millis) -> bool {
        self.peers
            .get(&replica.member)
            .is_some_and(|peer| peer.replica == *replica && self.is_recent(Some(peer.last_heard), now))
    }

    /// The process at an address has ended: nobody listens there.
    pub fn gone(&mut self, address: u32, now: Millis) {
        for peer in self.peers.values_mut().filter(|peer| peer.replica.member.address == address) {
            peer.gone_at = Some(now);
        }
    }

    /// Drops what is known of replicas that were not heard for long.
    pub fn forget(&mut self, now: Millis) {
        self.peers.retain(|_, peer| now.saturating_sub(peer.last_heard) < FORGET_MS);
        self.connected.retain(|member, _| self.peers.contains_key(member));
    }
}
