//! The failure detector: heartbeats to a few monitors on a ring, and the reports of peers on third replicas. This
//! module owns the state of all peers; the members of a view are chosen in `view_composition`.
use crate::{
    peer::{report_on, Peer, Status},
    ring::{self, Ring},
    settings::ControlSettings,
};
use magpiegap_protocol::{Heartbeat, Member, Millis, PeerReport, ReplicaId, View, WallMillis};
use std::collections::{BTreeMap, BTreeSet};

/// A newcomer must have been heard from continuously for this long before it may join a view.
const MIN_STABLE_MS: Millis = 150;
/// A peer that has not been heard from for this long is dropped.
const PEER_EXPIRY_MS: Millis = 30_000;
/// A peer outside the view that has not been heard from for this long is removed from the ring.
const NON_MEMBER_TIMEOUT_MS: Millis = 3000;

/// The state of all other replicas, as far as known.
#[derive(Clone, Debug)]
pub(crate) struct Membership {
    own: ReplicaId,
    suspect_ms: Millis,
    ring: Ring,
    peers: BTreeMap<Member, Peer>,
    /// The addresses with which each member reports a bidirectional connection.
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

    /// Replaces the seed addresses, at which other coordinators may be reachable.
    pub(crate) fn set_seeds(&mut self, seeds: &[u32]) {
        self.ring.set_seeds(seeds);
    }

    /// Replaces the addresses of the view. Members that were removed stay on the ring until they time out.
    pub(crate) fn start_view(&mut self, view: &View) {
        self.ring.start_view(view);
    }

    /// Whether so few members of the view are reachable that the seeds are sent heartbeats too.
    pub(crate) fn needs_seeds(&self, now: Millis) -> bool {
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
            .filter(|peer| now.saturating_sub(peer.last_heard) <= NON_MEMBER_TIMEOUT_MS)
            .map(|peer| peer.replica.member.address);
        self.ring.addresses(recent, self.needs_seeds(now))
    }

    /// The addresses of this replica's monitors, which are sent its heartbeats.
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

    /// Records the sender's connections, clock and echo from its heartbeat.
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

    /// Records the status that a replica reported at time `at`.
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

    /// Whether a replica has been heard from for long enough to join a view.
    pub(crate) fn is_stable(peer: &Peer, now: Millis) -> bool {
        now.saturating_sub(peer.first_heard) >= MIN_STABLE_MS
    }

    /// The reports on all peers, for a heartbeat.
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

    /// The other replicas that are reachable: those that exchange heartbeats with this replica in both directions and,
    /// in a ring that is not a full mesh, those that are known from the reports of others only.
    pub(crate) fn reachable(&self, now: Millis) -> Vec<Peer> {
        let is_bidirectional = |peer: &Peer| match self.is_recent(peer.last_direct, now) {
            true => self.is_connected(peer, now),
            // Known from reports only: in a large ring it sends its heartbeats to other monitors.
            false => !self.is_full_mesh(now),
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

    /// Whether the ring is so small that all replicas monitor each other.
    fn is_full_mesh(&self, now: Millis) -> bool {
        ring::is_full_mesh(&self.ring_addresses(now))
    }

    /// Whether something happened within the suspicion timeout.
    fn is_recent(&self, at: Option<Millis>, now: Millis) -> bool {
        at.is_some_and(|at| now.saturating_sub(at) <= self.suspect_ms)
    }

    /// Whether a peer and this replica receive heartbeats from each other.
    fn is_connected(&self, peer: &Peer, now: Millis) -> bool {
        self.is_recent(peer.last_direct, now) && self.is_recent(peer.last_heard_us, now)
    }

    /// Whether a member reports bidirectional connections to all `others`. Assumed in a ring that is not a full mesh,
    /// where members do not report on all others.
    pub(crate) fn reports_connection_to(
        &self,
        member: &Member,
        others: &[ReplicaId],
        now: Millis,
    ) -> bool {
        let connected = self.connected.get(member);
        let hears = |other: &ReplicaId| {
            let address = other.member.address;
            // The connection to this replica itself is checked by the caller.
            address == self.own.member.address
                || address == member.address
                || connected.is_some_and(|connected| connected.contains(&address))
        };
        !self.is_full_mesh(now) || others.iter().all(hears)
    }

    /// The peer with the given identity, if known.
    pub(crate) fn peer(&self, member: &Member) -> Option<&Peer> {
        self.peers.get(member)
    }

    /// The median of the wall clocks of this replica and of all peers whose heartbeats it receives.
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

    /// Whether this incarnation of a replica was heard from within the suspicion timeout.
    pub(crate) fn is_reachable(&self, replica: &ReplicaId, now: Millis) -> bool {
        self.peers.get(&replica.member).is_some_and(|peer| {
            peer.replica == *replica && self.is_recent(Some(peer.last_heard), now)
        })
    }

    /// Handles a refused connection to an address, whose process has most likely ended. Peers at that address count as
    /// unreachable until they are heard from again. This is only a hint: safety does not depend on it.
    pub(crate) fn handle_connection_refused(&mut self, address: u32, now: Millis) {
        for peer in self
            .peers
            .values_mut()
            .filter(|peer| peer.replica.member.address == address)
        {
            peer.refused_at = Some(now);
        }
    }

    /// Drops the peers that have not been heard from for a long time.
    pub(crate) fn expire_peers(&mut self, now: Millis) {
        self.peers
            .retain(|_, peer| now.saturating_sub(peer.last_heard) < PEER_EXPIRY_MS);
        self.connected
            .retain(|member, _| self.peers.contains_key(member));
    }
}
