//! Received messages: what each changes in the membership, and the messages in response.
use super::{Membership, OutgoingMessage, Piggyback, RelayedVersions, GOSSIP_INTERVAL};
use crate::types::{Member, Millis};
use crate::wire::v1::{
    Body, MemberUpdate, MembershipDigest, MessageKind, ProbeTarget, Status, SupportedVersions, TICK,
};

use super::table::{Applied, Entry};

/// The sender of a message, as the datagram's header has it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sender {
    pub member: Member,
    pub incarnation: u64,
    pub supported_versions: SupportedVersions,
}

/// How often others may know a higher incarnation of this replica than its own within [`REFUTATION_WINDOW`]: a
/// restarted one finds that out once, or a few times from those who knew of different ones; a duplicate goes on.
const MAX_REFUTATIONS: usize = 4;
const REFUTATION_WINDOW: Millis = 10_000.0;
/// A replica whose position a second process uses doesn't raise its incarnation for so long, so that the two don't
/// chase each other.
const REFUTATION_PAUSE: Millis = 30_000.0;
/// Updates that an acknowledgement carries where the digest and this replica's table differ.
const MAX_DIFFERENCES: usize = 16;
/// Newcomers whose updates are urgent, at a time.
const MAX_URGENT_NEWCOMERS: usize = 4;
/// Unknown members that wait to be probed.
const MAX_UNKNOWN_MEMBERS: usize = 16;

impl Membership {
    /// Takes a message from a member of this incarnation, and the time it was in transit at most, where that is known.
    pub(crate) fn handle_message(
        &mut self,
        now: Millis,
        sender: Sender,
        transit: Option<Millis>,
        body: &Body,
    ) {
        if self.departed {
            return;
        }
        let from = sender.member;
        let bounded = transit.is_some();
        let alive_at = transit.map(|transit| now - transit);
        self.last_received = now;
        let corrections = self.handle_sender(now, from, sender.incarnation, alive_at);
        if let Some(entry) = self.table.entries.get_mut(usize::from(from.0)) {
            if entry.incarnation == sender.incarnation {
                entry.supported_versions = sender.supported_versions;
            }
        }
        for update in &body.updates {
            self.handle_update(now, update, bounded);
        }
        let differing = self.handle_digest(now, &body.digest, bounded);
        match body.head.kind {
            MessageKind::Ping => {
                if self.budget.allows_response(now) {
                    self.send_ack(now, from, corrections, &differing);
                }
            }
            MessageKind::Ack => self.handle_ack(now, bounded, body.head.recent_failures, differing),
            MessageKind::PingRequest => self.handle_ping_request(now, from, body.head.target),
            MessageKind::IndirectAck => self.handle_indirect_ack(now, body.head.target, alive_at),
            MessageKind::Gossip => {}
        }
        if let Some(alive_at) = alive_at {
            self.confirm_indirect_probes(now, from, alive_at);
        }
    }

    /// Takes another's digest; returns the members on which this replica has evidence of something different.
    fn handle_digest(
        &mut self,
        now: Millis,
        digest: &MembershipDigest,
        bounded: bool,
    ) -> Vec<Member> {
        let comparison = self.table.compare(now, digest, bounded);
        self.changed |= !comparison.newly_up.is_empty();
        let relayed = comparison
            .newly_up
            .into_iter()
            .map(|member| RelayedVersions {
                member,
                incarnation: 0,
                supported_versions: digest.supported_versions,
            });
        self.relayed_versions.extend(relayed);
        comparison.differing
    }

    /// Acknowledges a ping, with the updates on members on which the two differ.
    fn send_ack(
        &mut self,
        now: Millis,
        to: Member,
        mut priority_updates: Vec<MemberUpdate>,
        differing: &[Member],
    ) {
        // Each sender gets another section of a long list.
        let start = usize::from(to.0) % differing.len().max(1);
        let differing = differing[start..]
            .iter()
            .chain(&differing[..start])
            .take(MAX_DIFFERENCES);
        priority_updates.extend(
            differing.filter_map(|member| self.table.update_on(now, *member, self.incarnation)),
        );
        let piggyback = Piggyback::with_credit(self.budget.has_credit(now));
        self.outbox.push_back(OutgoingMessage {
            to,
            kind: MessageKind::Ack,
            target: None,
            priority_updates,
            piggyback,
        });
    }

    /// Takes what an acknowledgement carries beside its updates: how many members have failed at its sender, and where
    /// the two differ.
    fn handle_ack(
        &mut self,
        now: Millis,
        bounded: bool,
        recent_failures: u16,
        differing: Vec<Member>,
    ) {
        let (highest, at) = self.reported_failures;
        if bounded && recent_failures >= highest || now - at > super::ISOLATION_TIMEOUT {
            self.reported_failures = (recent_failures, now);
        }
        for member in differing.into_iter().take(MAX_DIFFERENCES) {
            self.gossip.add_once(member);
        }
    }

    /// Confirms to those that requested an indirect probe of a member that it was alive at this time.
    fn confirm_indirect_probes(&mut self, now: Millis, target: Member, alive_at: Millis) {
        for requester in self.probes.take_answered_relays(now, target, alive_at) {
            let Some(age) = crate::wire::v1::age_to_ticks(now - alive_at) else {
                continue;
            };
            let priority_updates = self
                .table
                .update_on(now, target, self.incarnation)
                .into_iter()
                .collect();
            let target = Some(ProbeTarget {
                member: target.0,
                age,
            });
            self.outbox.push_back(OutgoingMessage {
                to: requester,
                kind: MessageKind::IndirectAck,
                target,
                priority_updates,
                piggyback: Piggyback::UpdatesOnly,
            });
        }
    }

    /// Takes a datagram of a version that this replica doesn't support: it responds in its own, so that the sender
    /// learns the versions that this replica supports, and nothing else follows from it.
    pub(crate) fn handle_unsupported_version(
        &mut self,
        now: Millis,
        from: Member,
        incarnation: u64,
    ) {
        if !self.departed && self.budget.has_credit(now) {
            let updates = self.correction(now, from, incarnation);
            self.send_with_updates(from, MessageKind::Gossip, updates);
        }
    }

    /// Takes what the datagram shows of its sender; returns the updates on it that the sender must learn.
    fn handle_sender(
        &mut self,
        now: Millis,
        from: Member,
        incarnation: u64,
        alive_at: Option<Millis>,
    ) -> Vec<MemberUpdate> {
        let Some(entry) = self.table.get(from).copied() else {
            return Vec::new();
        };
        let newer = entry.status.is_none() || incarnation > entry.incarnation;
        let Some(alive_at) = alive_at else {
            if newer && !entry.up() {
                self.queue_discovery(now, from);
            }
            return self.correction(now, from, incarnation);
        };
        self.record_alive(now, from, alive_at);
        if newer {
            if entry.incarnation > 0 && !entry.up() {
                self.restarted.push(from);
            }
            self.table.set(now, from, Status::Up, incarnation);
            self.changed = true;
            if entry.status != Some(Status::Up) {
                // A newcomer is an update for all; where many come, the digests carry them.
                let urgent = entry.status.is_some() || self.gossip.len() < MAX_URGENT_NEWCOMERS;
                self.announce(now, from, urgent);
            }
        }
        self.correction(now, from, incarnation)
    }

    /// Queues a member that isn't known to be up to be probed soon.
    fn queue_discovery(&mut self, now: Millis, member: Member) {
        if self.unknown_members.len() < MAX_UNKNOWN_MEMBERS
            && !self.unknown_members.contains(&member)
        {
            self.unknown_members.push_back(member);
            self.next_discovery = self.next_discovery.min(now + GOSSIP_INTERVAL);
        }
    }

    /// The update for a sender that isn't known as up under its incarnation: it will raise it.
    pub(super) fn correction(
        &self,
        now: Millis,
        from: Member,
        incarnation: u64,
    ) -> Vec<MemberUpdate> {
        let Some(entry) = self.table.get(from) else {
            return Vec::new();
        };
        if entry.status.is_some_and(|status| status != Status::Up)
            || incarnation < entry.incarnation
        {
            self.table
                .update_on(now, from, self.incarnation)
                .into_iter()
                .collect()
        } else {
            Vec::new()
        }
    }

    /// Records that a member was alive at this time.
    fn record_alive(&mut self, now: Millis, member: Member, alive_at: Millis) {
        let Some(entry) = self.table.entries.get_mut(usize::from(member.0)) else {
            return;
        };
        entry.last_alive = entry.last_alive.max(alive_at);
        if entry.status == Some(Status::Suspect) && alive_at >= entry.since {
            entry.status = Some(Status::Up);
            entry.since = now;
        }
        self.probes.record_alive(member, alive_at);
    }

    fn handle_ping_request(&mut self, now: Millis, from: Member, target: Option<ProbeTarget>) {
        let Some(target) = target.map(|target| Member(target.member)) else {
            return;
        };
        if target != self.own
            && self.table.get(target).is_some()
            && self.budget.allows_response(now)
        {
            self.probes.relay(now, from, target);
            self.send(target, MessageKind::Ping, Piggyback::UpdatesOnly);
        }
    }

    fn handle_indirect_ack(
        &mut self,
        now: Millis,
        target: Option<ProbeTarget>,
        alive_at: Option<Millis>,
    ) {
        let (Some(target), Some(alive_at)) = (target, alive_at) else {
            return;
        };
        let member = Member(target.member);
        if self.is_up(member) {
            let alive_at = alive_at - f64::from(target.age) * TICK;
            self.record_alive(now, member, alive_at);
        }
    }

    /// Takes an update on a member, perhaps on this one.
    fn handle_update(&mut self, now: Millis, update: &MemberUpdate, bounded: bool) {
        let member = Member(update.member);
        if member == self.own {
            self.refute(now, update);
            return;
        }
        let Some(before) = self.table.get(member).copied() else {
            return;
        };
        match self.table.apply(now, update, bounded) {
            Applied::Unchanged => {}
            Applied::MustProbe if before.up() => self.verify(now, member),
            Applied::MustProbe => self.queue_discovery(now, member),
            Applied::Changed => self.on_member_changed(now, member, &before),
        }
    }

    /// Counts and disseminates what an update has changed.
    fn on_member_changed(&mut self, now: Millis, member: Member, before: &Entry) {
        let after = self.table.entries[usize::from(member.0)];
        self.changed |= before.up() != after.up();
        self.relayed_versions.push(RelayedVersions {
            member,
            incarnation: after.incarnation,
            supported_versions: after.supported_versions,
        });
        if after.status == Some(Status::Up) && before.incarnation > 0 && !before.up() {
            self.restarted.push(member);
        }
        if after.status == Some(Status::Suspect) {
            self.counters.suspected += 1;
        }
        if after.status == Some(Status::Failed) && before.up() {
            self.counters.failed += 1;
        }
        // Where only an incarnation was not known yet, nothing has happened.
        let learned = before.status == after.status && before.incarnation == 0;
        let urgent = before.status.is_some() || self.gossip.len() < MAX_URGENT_NEWCOMERS;
        if !learned {
            self.announce(now, member, urgent);
        }
    }

    /// Refutes an update on this replica that isn't true by a higher incarnation, and raises its own above that of a
    /// former process.
    fn refute(&mut self, now: Millis, update: &MemberUpdate) {
        if update.status != Status::Up && update.incarnation < self.incarnation {
            // The suspicion is of an earlier incarnation: the current one is not known there yet.
            self.announce(now, self.own, true);
            return;
        }
        let doubted = update.status != Status::Up && update.incarnation >= self.incarnation;
        let surpassed = update.status == Status::Up && update.incarnation > self.incarnation;
        if !(doubted || surpassed) || update.incarnation >= u64::MAX / 2 {
            return;
        }
        if surpassed {
            if now < self.refutations_paused_until {
                return;
            }
            self.refutations.retain(|at| now - at < REFUTATION_WINDOW);
            self.refutations.push_back(now);
            if self.refutations.len() > MAX_REFUTATIONS {
                self.refutations.clear();
                self.refutations_paused_until = now + REFUTATION_PAUSE;
                self.duplicate = true;
                return;
            }
        }
        self.incarnation = update.incarnation + 1;
        self.announce(now, self.own, true);
    }
}
