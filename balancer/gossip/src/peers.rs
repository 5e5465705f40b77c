//! The protocol as a sans-I/O state machine. Passes datagrams and time to membership, negotiation and knowledge, and
//! assembles the datagrams that they send. Owns none of their state: only the configuration, the counters and the
//! notifications.
use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::knowledge::ages::{PeerClocks, MAX_TRANSIT};
use crate::knowledge::sums::{LoadEntries, LoadTable};
use crate::knowledge::verdicts::Verdicts;
use crate::membership::{Membership, OutgoingMessage, Piggyback, RelayedVersions, Sender};
use crate::types::{
    Config, ConfigError, Counters, Member, Millis, Notification, Observations, TierState, Transmit,
    VersionRange, SUPPORTED_VERSIONS,
};
use crate::versions::VersionNegotiation;
use crate::wire::v1::{Head, MembershipDigest, MessageKind};
use crate::wire::{self, v1, v2, DecodeError, Header, MAX_PAYLOAD_LEN};

/// Notifications for the operator that wait until they are polled; further ones are dropped.
const MAX_NOTIFICATIONS: usize = 16;

/// The reason why a datagram, or all of it but its header and its membership, was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rejection {
    Malformed,
    ForeignDeployment,
    UnsupportedVersion,
    TooOld,
}

impl From<DecodeError> for Rejection {
    fn from(_: DecodeError) -> Rejection {
        Rejection::Malformed
    }
}

/// One replica of the protocol of its tier.
#[derive(Debug)]
pub struct Peers {
    config: Config,
    counts: Counters,
    rng: Pcg64Mcg,
    clocks: PeerClocks,
    membership: Membership,
    negotiation: VersionNegotiation,
    verdicts: Verdicts,
    sums: LoadTable,
    notifications: VecDeque<Notification>,
    /// The time of the last call: when datagrams are written.
    now: Millis,
    /// Whether the last notification said that this replica is isolated.
    isolated: bool,
}

impl Peers {
    /// A replica that has received nothing yet.
    ///
    /// # Errors
    ///
    /// When the replica isn't in the list of candidates, or no version that this program supports is left to it.
    pub fn new(config: Config, now: Millis) -> Result<Peers, ConfigError> {
        if config.own.0 >= config.candidates {
            return Err(ConfigError("this copy is not among the peers"));
        }
        let VersionRange { min, max } = config.supported_versions;
        if min > max || min < SUPPORTED_VERSIONS.min || max > SUPPORTED_VERSIONS.max {
            return Err(ConfigError(
                "no version of the peers' protocol is left to speak",
            ));
        }
        // Two processes of one replica, and two replicas of one seed, draw differently.
        let mut rng = Pcg64Mcg::seed_from_u64(
            config.seed ^ config.incarnation.rotate_left(32) ^ u64::from(config.own.0),
        );
        let clocks = PeerClocks::new(config.candidates, rng.gen(), now);
        let verdicts = Verdicts::new(config.own, config.zone, rng.gen());
        let sums = LoadTable::new(config.own, config.candidates, config.tenants);
        let negotiation = VersionNegotiation::new(config.supported_versions);
        let membership = Membership::new(
            config.own,
            config.candidates,
            config.incarnation,
            config.supported_versions.into(),
            rng.clone(),
            now,
        );
        let (counts, notifications) = (Counters::default(), VecDeque::new());
        Ok(Peers {
            config,
            counts,
            rng,
            clocks,
            membership,
            negotiation,
            verdicts,
            sums,
            notifications,
            now,
            isolated: false,
        })
    }

    /// Takes a datagram that came from a candidate's address. Whatever is wrong with it, it is counted and dropped.
    pub fn handle_datagram(&mut self, now: Millis, from: Member, bytes: &[u8]) {
        self.detect_pause(now);
        self.counts.read += 1;
        self.counts.read_bytes += bytes.len() as u64;
        if let Err(rejection) = self.try_handle_datagram(now, from, bytes) {
            self.count_rejection(rejection);
        }
    }

    fn try_handle_datagram(
        &mut self,
        now: Millis,
        from: Member,
        bytes: &[u8],
    ) -> Result<(), Rejection> {
        let (header, payload) = wire::open(bytes)?;
        self.check_sender(&header, from)?;
        if !self.config.supported_versions.contains(header.version) {
            // Its payload can't be read, but the header has the sender and the versions that it supports.
            self.handle_header(now, &header);
            self.membership
                .handle_unsupported_version(now, from, header.incarnation);
            return Err(Rejection::UnsupportedVersion);
        }
        let body = decode(header.version, payload)?;
        let head = &body.version_1.head;
        let transit = self.clocks.handle_stamp(now, from, head.stamp, head.echo);
        if transit.is_some_and(|transit| transit > MAX_TRANSIT) {
            return Err(Rejection::TooOld);
        }
        self.handle_header(now, &header);
        let sender = Sender {
            member: from,
            incarnation: header.incarnation,
            supported_versions: header.supported_versions.into(),
        };
        self.membership
            .handle_message(now, sender, transit, &body.version_1);
        self.on_membership_changed(now);
        if !self.negotiation.accepts(header.version, header.epoch) {
            return Err(Rejection::UnsupportedVersion);
        }
        self.handle_knowledge(now, from, transit, body);
        Ok(())
    }

    /// Checks that a datagram is of this deployment, and of the candidate from whose address it came.
    fn check_sender(&self, header: &Header, from: Member) -> Result<(), Rejection> {
        if header.deployment != self.config.deployment {
            return Err(Rejection::ForeignDeployment);
        }
        if header.position != from || from == self.config.own || from.0 >= self.config.candidates {
            return Err(Rejection::Malformed);
        }
        Ok(())
    }

    fn count_rejection(&mut self, rejection: Rejection) {
        let counter = match rejection {
            Rejection::Malformed => &mut self.counts.malformed,
            Rejection::ForeignDeployment => &mut self.counts.foreign_deployment,
            Rejection::UnsupportedVersion => &mut self.counts.unsupported_version,
            Rejection::TooOld => &mut self.counts.old,
        };
        *counter += 1;
    }

    /// Takes the verdicts and the loads of a datagram of a version that this replica accepts.
    fn handle_knowledge(
        &mut self,
        now: Millis,
        from: Member,
        transit: Option<Millis>,
        body: v2::Body,
    ) {
        let verdicts = &body.version_1.verdicts;
        let Some(transit) = transit else {
            // Nothing that ages can be taken from it; the response to a probe of our own will have a bound.
            if !verdicts.is_empty() {
                self.membership.probe(now, from);
            }
            return;
        };
        let mut changed = false;
        for verdict in verdicts {
            changed |= verdict.observer < self.config.candidates
                && self.verdicts.handle_verdict(now, transit, verdict);
        }
        if changed {
            self.membership.disseminate(now);
        }
        // A datagram of version 1 has no loads, which changes nothing.
        let loads = LoadEntries {
            totals: body.totals,
            unnamed_tenants: body.unnamed_tenants,
            rows: body.rows,
        };
        self.sums.handle_loads(now, transit, from, loads);
    }

    /// Takes a verified header for the agreement on a version, unless it is of a process that has ended.
    fn handle_header(&mut self, now: Millis, header: &Header) {
        if self
            .membership
            .is_current(header.position, header.incarnation)
        {
            self.negotiation.handle_announcement(
                now,
                header.position,
                header.incarnation,
                header.supported_versions,
                header.epoch,
            );
        }
    }

    /// Passes on who is up and who has restarted, where that may have changed.
    fn on_membership_changed(&mut self, now: Millis) {
        for member in std::mem::take(&mut self.membership.restarted) {
            self.verdicts.forget(member);
        }
        for relayed in std::mem::take(&mut self.membership.relayed_versions) {
            let RelayedVersions {
                member,
                incarnation,
                supported_versions,
            } = relayed;
            self.negotiation.handle_announcement(
                now,
                member,
                incarnation,
                supported_versions.into(),
                0,
            );
        }
        if self.membership.take_changed() {
            let mut up = self.membership.up();
            up.retain(|member| *member != self.config.own);
            self.negotiation.handle_members(now, &up);
        }
        if self.membership.take_duplicate() {
            let position = self.config.own.0;
            self.notify(format!(
                "another copy speaks as this one, place {position} of the peers: two must not have one name"
            ));
        }
    }

    fn notify(&mut self, line: String) {
        if self.notifications.len() < MAX_NOTIFICATIONS {
            self.notifications.push_back(Notification(line));
        }
    }

    /// Detects, before anything else that happens at a time, whether this replica was paused past a timeout.
    fn detect_pause(&mut self, now: Millis) {
        self.now = now;
        self.membership.detect_pause(now);
    }

    /// The time at which [`Peers::on_timeout`] is to be called next.
    pub fn next_timeout(&self) -> Option<Millis> {
        let timeouts = [
            self.membership.next_timeout(),
            self.negotiation.next_timeout(),
        ];
        timeouts.into_iter().flatten().min_by(f64::total_cmp)
    }

    /// Handles all timers that have expired.
    pub fn on_timeout(&mut self, now: Millis) {
        self.detect_pause(now);
        self.negotiation.on_timeout(now);
        self.membership.on_timeout(now);
        self.on_membership_changed(now);
        self.verdicts.on_timeout(now);
    }

    /// Returns the next datagram to send; to be called until there is none, after each call that takes the time.
    pub fn poll_transmit(&mut self) -> Option<Transmit> {
        let message = self.membership.poll_message()?;
        let bytes = self.encode(&message);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.membership.budget.spend(self.now, bytes.len());
        Some(Transmit {
            to: message.to,
            bytes,
        })
    }

    /// Encodes a message, with whatever is piggybacked on it.
    fn encode(&mut self, message: &OutgoingMessage) -> Vec<u8> {
        let version = self.version_for(message.to);
        let mut body = v2::Body {
            version_1: self.version_1_body(message),
            unnamed_tenants: None,
            rows: Vec::new(),
            totals: Vec::new(),
        };
        let payload = if version == 1 {
            v1::encode(&mut body.version_1, MAX_PAYLOAD_LEN)
        } else {
            if message.piggyback == Piggyback::Full {
                let with_tenants = message.kind == MessageKind::Ping;
                let loads = self.sums.outgoing(self.now, with_tenants, &mut self.rng);
                body.totals = loads.totals;
                body.unnamed_tenants = loads.unnamed_tenants;
                body.rows = loads.rows;
            }
            v2::encode(&mut body, MAX_PAYLOAD_LEN)
        };
        self.membership.on_updates_written(&body.version_1.updates);
        let header = Header {
            version,
            supported_versions: self.config.supported_versions,
            position: self.config.own,
            incarnation: self.membership.incarnation(),
            deployment: self.config.deployment,
            epoch: self.negotiation.epoch(),
        };
        wire::seal(&header, &payload)
    }

    /// The version to write to a candidate in: one that isn't up may support the lowest only.
    fn version_for(&self, to: Member) -> u8 {
        let supported = self.config.supported_versions;
        let version = if self.membership.is_up(to) {
            self.negotiation.version()
        } else {
            supported.min
        };
        version.clamp(supported.min, supported.max)
    }

    fn version_1_body(&mut self, message: &OutgoingMessage) -> v1::Body {
        let now = self.now;
        let head = Head {
            kind: message.kind,
            stamp: self.clocks.stamp(now),
            echo: self.clocks.echo(now, message.to),
            target: message.target,
            recent_failures: self.membership.recent_failures(now),
        };
        let is_full = message.piggyback == Piggyback::Full;
        // An acknowledgement always carries the digest: when many fail at once there is no shorter form.
        let digest = if message.kind == MessageKind::Ack || is_full {
            self.membership.digest()
        } else {
            MembershipDigest::default()
        };
        let updates = self.membership.updates(now, message);
        let verdicts = if message.kind == MessageKind::Gossip || is_full {
            self.verdicts.outgoing(now, &mut self.rng)
        } else {
            Vec::new()
        };
        v1::Body {
            head,
            digest,
            updates,
            verdicts,
        }
    }

    /// Returns the next notification for the operator.
    pub fn poll_notification(&mut self) -> Option<Notification> {
        self.notifications
            .pop_front()
            .or_else(|| self.negotiation.poll_notification())
    }

    /// Takes what this replica observes itself.
    pub fn handle_observation(&mut self, now: Millis, own: Observations) {
        self.detect_pause(now);
        if self.verdicts.observe(now, &own.against, &own.cleared) {
            self.membership.disseminate(now);
        }
        self.sums.observe(now, own.load);
    }

    /// What the tier knows.
    pub fn tier_state(&mut self, now: Millis) -> TierState {
        self.detect_pause(now);
        let members = self.membership.up();
        let position = members
            .iter()
            .position(|member| *member == self.config.own)
            .unwrap_or(0);
        let version = self.negotiation.version();
        let joined = self.membership.has_joined(now);
        self.notify_of_isolation(joined, members.len());
        let sums = if joined && version >= 2 {
            self.sums.sums(now, &members)
        } else {
            None
        };
        TierState {
            up: members.len() as u32,
            position: position as u32,
            version,
            epoch: self.negotiation.epoch(),
            joined,
            sums,
            evidence: self.verdicts.evidence(now),
        }
    }

    /// Notifies the operator when this replica becomes isolated, and when it no longer is.
    fn notify_of_isolation(&mut self, joined: bool, up: usize) {
        if self.isolated != joined || !joined && up <= 1 {
            return;
        }
        self.isolated = !joined;
        let change = if joined {
            "hears the tier again"
        } else {
            "is cut off from more than half of the tier"
        };
        self.notify(format!("this copy {change}: {up} members up"));
    }

    /// Notifies the others that this replica leaves, so that nobody need suspect it.
    pub fn leave(&mut self, now: Millis) {
        self.detect_pause(now);
        self.membership.leave(now);
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counters {
        let counters = self.membership.counters;
        Counters {
            suspected: counters.suspected,
            gone: counters.failed,
            steps: self.negotiation.steps(),
            ..self.counts
        }
    }
}

/// The payload of a version as one of the highest: what the version does not have is absent.
fn decode(version: u8, payload: &[u8]) -> Result<v2::Body, DecodeError> {
    if version > 1 {
        return v2::decode(payload);
    }
    let version_1 = v1::decode(payload)?;
    Ok(v2::Body {
        version_1,
        unnamed_tenants: None,
        rows: Vec::new(),
        totals: Vec::new(),
    })
}
