//! Handling of received messages: the changes that they make to the membership, and the responses.
use super::{Membership, OutgoingMessage, Piggyback, RelayedVersions, GOSSIP_INTERVAL};
use crate::types::{Member, Millis};
use crate::wire::v1::{
    Body, MemberUpdate, MembershipDigest, MessageKind, ProbeTarget, Status, SupportedVersions, TICK,
};

use super::table::{Applied, Entry};

/// The sender of a message, from the header of the datagram.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sender {
    pub member: Member,
    pub incarnation: u64,
    pub supported_versions: SupportedVersions,
}

/// How often this replica may raise its incarnation above a higher known one within [`REFUTATION_WINDOW`]. A restarted
/// replica does so once, or a few times if other members know different incarnations; more indicates a duplicate.
const MAX_REFUTATIONS: usize = 4;
/// The time over which [`MAX_REFUTATIONS`] are counted.
const REFUTATION_WINDOW: Millis = 10_000.0;
/// How long a replica with a duplicate at its position does not raise its incarnation, so that the two processes don't
/// outbid each other endlessly.
const REFUTATION_PAUSE: Millis = 30_000.0;
/// Limit of updates per acknowledgement on members for which the digest and this replica's table differ.
const MAX_DIFFERENCES: usize = 16;
/// Updates on new members are urgent only while fewer updates than this are queued.
const MAX_URGENT_NEWCOMERS: usize = 4;
/// Limit of unknown members that wait to be probed.
const MAX_UNKNOWN_MEMBERS: usize = 16;

impl Membership {
    /// Handles a message; `transit` is the upper bound of its time in transit, if known.
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

    /// Handles the digest of another replica; returns the members for which this replica's evidence contradicts it.
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

    /// Acknowledges a ping, with updates on the members for which the two replicas differ.
    fn send_ack(
        &mut self,
        now: Millis,
        to: Member,
        mut priority_updates: Vec<MemberUpdate>,
        differing: &[Member],
    ) {
        // Different senders get different sections of a long list.
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

    /// Handles the other contents of an acknowledgement: the number of members that its sender has declared failed, and
    /// the members for which the two replicas differ.
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

    /// Confirms to the requesters of indirect probes of `target` that it was alive at `alive_at`.
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

    /// Handles a datagram of an unsupported version: responds in a supported one, so that the sender learns the
    /// versions that this replica supports, and ignores everything else.
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

    /// Updates the table entry of the sender; returns the updates on it that the sender must receive.
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
                // A new member is announced urgently; if many join at once, the digests disseminate them.
                let urgent = entry.status.is_some() || self.gossip.len() < MAX_URGENT_NEWCOMERS;
                self.announce(now, from, urgent);
            }
        }
        self.correction(now, from, incarnation)
    }

    /// Queues a member that isn't known to be up for a probe soon.
    fn queue_discovery(&mut self, now: Millis, member: Member) {
        if self.unknown_members.len() < MAX_UNKNOWN_MEMBERS
            && !self.unknown_members.contains(&member)
        {
            self.unknown_members.push_back(member);
            self.next_discovery = self.next_discovery.min(now + GOSSIP_INTERVAL);
        }
    }

    /// The update to send to a member that isn't known as up under its incarnation, so that it raises its incarnation.
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

    /// Records that a member was alive at `alive_at`.
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

    /// Handles an update on a member, which may be this replica.
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

    /// Counts and disseminates the change that an update has made.
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
        // If only the incarnation was unknown, nothing has changed for others.
        let only_incarnation_learned = before.status == after.status && before.incarnation == 0;
        let urgent = before.status.is_some() || self.gossip.len() < MAX_URGENT_NEWCOMERS;
        if !only_incarnation_learned {
            self.announce(now, member, urgent);
        }
    }

    /// Refutes a false update on this replica with a higher incarnation, and raises the incarnation above that of a
    /// former process.
    fn refute(&mut self, now: Millis, update: &MemberUpdate) {
        if update.status != Status::Up && update.incarnation < self.incarnation {
            // The suspicion is of an earlier incarnation: its sender doesn't know the current one yet.
            self.announce(now, self.own, true);
            return;
        }
        let suspected = update.status != Status::Up && update.incarnation >= self.incarnation;
        let outdated = update.status == Status::Up && update.incarnation > self.incarnation;
        if !(suspected || outdated) || update.incarnation >= u64::MAX / 2 {
            return;
        }
        if outdated {
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
