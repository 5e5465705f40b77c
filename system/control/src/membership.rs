//! The failure detector: heartbeats to a few monitors on a ring, and what others report. It owns what is known of other
//! replicas; who is taken into a view is decided in `view_composition`.
use crate::{
    peer::{report_on, Peer, Status},
    ring::{self, Ring},
    settings::ControlSettings,
};
use magpiegap_protocol::{Heartbeat, Member, Millis, PeerReport, ReplicaId, View, WallMillis};
use std::collections::{BTreeMap, BTreeSet};

/// A newcomer must have been heard for this long before it may be taken into a view.
const MIN_STABLE_MS: Millis = 150;
/// Reports on replicas that were not heard for this long are dropped.
const PEER_EXPIRY_MS: Millis = 30_000;
/// A replica that is in no view and was not heard for this long is not on the ring.
const OUTSIDER_TIMEOUT_MS: Millis = 3000;

/// All that is known of other replicas.
#[derive(Clone, Debug)]
pub(crate) struct Membership {
    own: ReplicaId,
    suspect_ms: Millis,
    ring: Ring,
    peers: BTreeMap<Member, Peer>,
    /// The addresses with which each member says to be connected both ways.
    connected: BTreeMap<Member, BTreeSet<u32>>,
}

impl Membership {
    pub(crate) fn new(settings: &ControlSettings, view: &View) -> Membership {
        Membership {
            own: settings.own,
            suspect_ms: settings.suspicion_timeout_ms,
            ring: Ring::new(settings.own.member.address, &settings.seeds, view),
            peers: BTreeMap::new(),
            connected: BTreeMap::new(),
        }
    }

    /// Replaces the addresses at which others may be found.
    pub(crate) fn set_seeds(&mut self, seeds: &[u32]) {
        self.ring.set_seeds(seeds);
    }

    /// Takes up the addresses of a view. Those of members that it has left out expire once they are not heard.
    pub(crate) fn start_view(&mut self, view: &View) {
        self.ring.start_view(view);
    }

    /// Whether too few of the view are reachable, so that the seeds are sent heartbeats too.
    pub(crate) fn is_seeking(&self, now: Millis) -> bool {
        let reachable: BTreeSet<u32> = self
            .peers
            .values()
            .filter(|peer| self.is_recent(peer.last_direct, now))
            .map(|peer| peer.replica.member.address)
            .collect();
        self.ring.needs_seeds(&reachable)
    }

    /// The addresses on the ring, without this replica's own.
    fn ring_addresses(&self, now: Millis) -> BTreeSet<u32> {
        let recent = self
            .peers
            .values()
            .filter(|peer| now.saturating_sub(peer.last_heard) <= OUTSIDER_TIMEOUT_MS)
            .map(|peer| peer.replica.member.address);
        self.ring.addresses(recent, self.is_seeking(now))
    }

    /// Those that are sent this replica's heartbeats.
    pub(crate) fn monitors(&self, now: Millis) -> Vec<u32> {
        self.ring.monitors(&self.ring_addresses(now))
    }

    /// Handles a heartbeat. Returns whether it is the first one from this incarnation of the replica.
    pub(crate) fn handle_heartbeat(
        &mut self,
        from: ReplicaId,
        heartbeat: &Heartbeat,
        now: Millis,
    ) -> bool {
        let known = self
            .peers
            .get(&from.member)
            .is_some_and(|peer| peer.replica == from && peer.last_direct.is_some());
        self.record_status(from, now, heartbeat.into(), now);
        self.record_contact(from, heartbeat, now);
        for report in &heartbeat.reports {
            if report.replica.member != self.own.member && report.age_ms < self.suspect_ms {
                let at = now.saturating_sub(report.age_ms);
                self.record_status(report.replica, at, report.into(), now);
            }
        }
        !known
    }

    /// Records what a heartbeat says of the connections of its sender.
    fn record_contact(&mut self, from: ReplicaId, heartbeat: &Heartbeat, now: Millis) {
        let hears_us =
            report_on(heartbeat, self.own).is_some_and(|report| report.age_ms < self.suspect_ms);
        if let Some(peer) = self.peers.get_mut(&from.member) {
            peer.last_direct = Some(now);
            peer.echo = peer.echo.max(heartbeat.sent_at);
            peer.wall_offset = Some(heartbeat.wall_ms.0 as i64 - now as i64);
            if hears_us {
                peer.last_heard_us = Some(now);
            }
        }
        let connected = heartbeat
            .reports
            .iter()
            .filter(|report| report.bidirectional)
            .map(|report| report.replica.member.address)
            .collect();
        self.connected.insert(from.member, connected);
    }

    /// Records what a replica said at a time.
    fn record_status(&mut self, replica: ReplicaId, at: Millis, status: Status, now: Millis) {
        let fresh = Peer::new(replica, status, at, now);
        let peer = self.peers.entry(replica.member).or_insert(fresh);
        if at < peer.last_heard {
            return;
        }
        if peer.replica != replica {
            *peer = fresh;
            return;
        }
        if at.saturating_sub(peer.last_heard) > self.suspect_ms {
            peer.first_heard = now;
        }
        peer.last_heard = at;
        peer.status = status;
    }

    /// Whether a replica has been heard for long enough that it may be taken into a view.
    pub(crate) fn is_stable(peer: &Peer, now: Millis) -> bool {
        now.saturating_sub(peer.first_heard) >= MIN_STABLE_MS
    }

    /// Reports for a heartbeat.
    pub(crate) fn reports(&self, now: Millis) -> Vec<PeerReport> {
        let report = |peer: &Peer| {
            let Status {
                view,
                serving,
                unfit,
                complete,
                committed,
                location,
            } = peer.status;
            PeerReport {
                replica: peer.replica,
                age_ms: now.saturating_sub(peer.last_heard),
                view,
                serving,
                unfit,
                complete,
                committed,
                location,
                bidirectional: self.is_connected(peer, now),
                echo: peer.echo,
            }
        };
        self.peers.values().map(report).collect()
    }

    /// The other replicas that are reachable both ways: they are heard, and hear this one.
    pub(crate) fn reachable(&self, now: Millis) -> Vec<Peer> {
        let is_bidirectional = |peer: &Peer| match self.is_recent(peer.last_direct, now) {
            true => self.is_connected(peer, now),
            // Heard of from others only: it sends this replica nothing itself, since it has other monitors.
            false => !self.all_hear_each_other(now),
        };
        let is_reachable = |peer: &&Peer| {
            self.is_recent(Some(peer.last_heard), now)
                && peer
                    .refused_at
                    .is_none_or(|refused| peer.last_heard > refused)
                && is_bidirectional(peer)
        };
        let mut newest: BTreeMap<u32, Peer> = BTreeMap::new();
        for peer in self.peers.values().filter(is_reachable) {
            let known = newest.entry(peer.replica.member.address).or_insert(*peer);
            if peer.last_heard > known.last_heard {
                *known = *peer;
            }
        }
        newest.into_values().collect()
    }

    /// Whether the ring is so small that everyone monitors everyone.
    fn all_hear_each_other(&self, now: Millis) -> bool {
        ring::all_are_monitors(&self.ring_addresses(now))
    }

    /// Whether something happened, and not so long ago that a replica is suspected.
    fn is_recent(&self, at: Option<Millis>, now: Millis) -> bool {
        at.is_some_and(|at| now.saturating_sub(at) <= self.suspect_ms)
    }

    /// Whether a peer and this replica hear each other.
    fn is_connected(&self, peer: &Peer, now: Millis) -> bool {
        self.is_recent(peer.last_direct, now) && self.is_recent(peer.last_heard_us, now)
    }

    /// Whether a member says that it and all of the others hear each other. In a large ring that isn't known.
    pub(crate) fn reports_connection_to(
        &self,
        member: &Member,
        others: &[ReplicaId],
        now: Millis,
    ) -> bool {
        let connected = self.connected.get(member);
        let hears = |other: &ReplicaId| {
            let address = other.member.address;
            // That this replica and it hear each other is known here.
            address == self.own.member.address
                || address == member.address
                || connected.is_some_and(|connected| connected.contains(&address))
        };
        !self.all_hear_each_other(now) || others.iter().all(hears)
    }

    /// What is known of a member.
    pub(crate) fn peer(&self, member: &Member) -> Option<&Peer> {
        self.peers.get(member)
    }

    /// The median of the times of day of all that are heard, with this replica's own.
    pub(crate) fn median_wall(&self, own_wall: WallMillis, now: Millis) -> WallMillis {
        let recent = |peer: &&Peer| {
            peer.last_direct
                .is_some_and(|at| now.saturating_sub(at) <= 2 * self.suspect_ms)
        };
        let heard = self
            .peers
            .values()
            .filter(recent)
            .filter_map(|peer| peer.wall_offset);
        let mut walls: Vec<i64> = heard.map(|offset| offset + now as i64).collect();
        walls.push(own_wall.0 as i64);
        walls.sort_unstable();
        let lower = walls[(walls.len() - 1) / 2];
        WallMillis(u64::try_from(lower).unwrap_or(0))
    }

    /// Whether this very process was heard lately.
    pub(crate) fn is_reachable(&self, replica: &ReplicaId, now: Millis) -> bool {
        self.peers.get(&replica.member).is_some_and(|peer| {
            peer.replica == *replica && self.is_recent(Some(peer.last_heard), now)
        })
    }

    /// A connection to an address was refused: most likely the process there has ended. What was heard until now counts
    /// no more for who is there; it proves nothing, and nothing else rests on it.
    pub(crate) fn handle_connection_refused(&mut self, address: u32, now: Millis) {
        for peer in self
            .peers
            .values_mut()
            .filter(|peer| peer.replica.member.address == address)
        {
            peer.refused_at = Some(now);
        }
    }

    /// Drops what is known of replicas that were not heard for long.
    pub(crate) fn expire_peers(&mut self, now: Millis) {
        self.peers
            .retain(|_, peer| now.saturating_sub(peer.last_heard) < PEER_EXPIRY_MS);
        self.connected
            .retain(|member, _| self.peers.contains_key(member));
    }
}
