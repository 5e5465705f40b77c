//! The protocol as a sans-I/O state machine. Dispatches datagrams and timeouts to membership, version negotiation,
//! loads and verdicts, and assembles outgoing datagrams. Owns the configuration, the counters and the notifications;
//! all other state belongs to those modules.
mod receive;
mod send;

use std::collections::VecDeque;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::knowledge::ages::PeerClocks;
use crate::knowledge::sums::LoadTable;
use crate::knowledge::verdicts::Verdicts;
use crate::membership::Membership;
use crate::types::{
    Config, ConfigError, Counters, Member, Millis, Notification, Observations, TierState, Transmit,
    VersionRange, SUPPORTED_VERSIONS,
};
use crate::versions::VersionNegotiation;

/// Limit of notifications that wait to be polled; further ones are dropped.
const MAX_NOTIFICATIONS: usize = 16;

/// The protocol instance of one replica.
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
    /// The time of the last call, used for the datagrams that are written afterwards.
    now: Millis,
    /// Whether the operator was last notified that this replica is isolated.
    isolated: bool,
}

impl Peers {
    /// Creates a replica that has received nothing yet.
    ///
    /// # Errors
    ///
    /// When the replica isn't in the list of candidates, or the configured versions are not supported by this program.
    pub fn new(config: Config, now: Millis) -> Result<Peers, ConfigError> {
        if config.own.0 >= config.candidates {
            return Err(ConfigError(
                "this replica's position is not in the list of peers",
            ));
        }
        let VersionRange { min, max } = config.supported_versions;
        if min > max || min < SUPPORTED_VERSIONS.min || max > SUPPORTED_VERSIONS.max {
            return Err(ConfigError(
                "no supported version of the peer protocol is configured",
            ));
        }
        // Successive processes of a replica, and replicas with the same seed, use different random sequences.
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

    /// Handles a datagram received from a candidate's address. Invalid datagrams are counted and dropped.
    pub fn handle_datagram(&mut self, now: Millis, from: Member, bytes: &[u8]) {
        self.detect_pause(now);
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        if let Err(rejection) = self.try_handle_datagram(now, from, bytes) {
            self.count_rejection(rejection);
        }
    }

    fn notify(&mut self, line: String) {
        if self.notifications.len() < MAX_NOTIFICATIONS {
            self.notifications.push_back(Notification(line));
        }
    }

    /// Detects whether this replica was paused past a timeout. Must run before any other processing at this time.
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

    /// Returns the next datagram to send. Call it until it returns `None`, after each call that takes the time.
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

    /// Returns the next notification for the operator, if any.
    pub fn poll_notification(&mut self) -> Option<Notification> {
        self.notifications
            .pop_front()
            .or_else(|| self.negotiation.poll_notification())
    }

    /// Replaces this replica's own observations.
    pub fn handle_observation(&mut self, now: Millis, own: Observations) {
        self.detect_pause(now);
        if self.verdicts.observe(now, &own.against, &own.cleared) {
            self.membership.disseminate(now);
        }
        self.sums.observe(now, own.load);
    }

    /// Returns the current state of the tier.
    pub fn tier_state(&mut self, now: Millis) -> TierState {
        self.detect_pause(now);
        let members = self.membership.up();
        let position = members
            .iter()
            .position(|member| *member == self.config.own)
            .unwrap_or(0);
        let version = self.negotiation.version();
        let is_joined = self.membership.has_joined(now);
        self.notify_of_isolation(is_joined, members.len());
        let sums = if is_joined && version >= 2 {
            self.sums.sums(now, &members)
        } else {
            None
        };
        TierState {
            up: members.len() as u32,
            position: position as u32,
            version,
            epoch: self.negotiation.epoch(),
            is_joined,
            sums,
            evidence: self.verdicts.evidence(now),
        }
    }

    /// Notifies the operator when this replica becomes isolated, and when it no longer is.
    fn notify_of_isolation(&mut self, is_joined: bool, up: usize) {
        if self.isolated != is_joined || !is_joined && up <= 1 {
            return;
        }
        self.isolated = !is_joined;
        let change = if is_joined {
            "is connected to the tier again"
        } else {
            "is isolated from more than half of the tier"
        };
        self.notify(format!("this replica {change}: {up} members up"));
    }

    /// Notifies other members that this replica leaves, so that they do not suspect it.
    pub fn leave(&mut self, now: Millis) {
        self.detect_pause(now);
        self.membership.leave(now);
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counters {
        let counters = self.membership.counters;
        Counters {
            suspected: counters.suspected,
            failed: counters.failed,
            version_changes: self.negotiation.steps(),
            ..self.counts
        }
    }
}
