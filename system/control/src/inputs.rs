//! The inputs of a replica: messages, timer ticks, and the completion of disk work. Each input is dispatched to the
//! module that handles it.
use crate::{
    disk_tickets::OnDurable, log::EntryBatch, peer::report_on, replica::Replica,
    snapshot_transfer::Chunk, StateMachine,
};
use magpiegap_protocol::{Heartbeat, Millis, PeerMessage, ReplicaId, ViewNumber, WallMillis};
use std::collections::BTreeSet;

/// A checkpoint is written once the records since the last one exceed this size.
const CHECKPOINT_BYTES: usize = 4 << 20;

/// Approximate limit on the heartbeats per second that a replica sends, over all targets.
const MAX_HEARTBEATS_PER_S: u64 = 90;
/// Minimum number of heartbeat intervals per suspicion timeout.
const MIN_HEARTBEATS_PER_SUSPICION: Millis = 3;

impl Replica {
    /// Runs the periodic work that is due. Must be called every few tens of milliseconds.
    pub fn on_timeout(
        &mut self,
        now: Millis,
        own_wall: WallMillis,
        machine: &mut dyn StateMachine,
    ) {
        if !self.is_recovered_state_durable {
            self.flush(now, machine);
            return;
        }
        if now >= self.next_heartbeat_at {
            let targets = self.heartbeat_targets(now);
            self.next_heartbeat_at = now + self.heartbeat_interval(targets.len());
            self.record_disk_progress();
            self.send_heartbeats(&targets, now, own_wall);
            self.record_commit_index(now);
            self.membership.expire_peers(now);
            self.expire_outgoing_snapshot(now);
        }
        self.confirm_disk(now, own_wall, machine);
        self.propose_view_if_needed(now);
        self.request_missing_if_needed(now);
        if self.tickets.needs_checkpoint(CHECKPOINT_BYTES) {
            self.checkpoint(now, machine);
        }
        self.flush(now, machine);
    }

    /// Handles a message from another replica.
    pub fn handle_message(
        &mut self,
        now: Millis,
        wall: WallMillis,
        from: ReplicaId,
        message: PeerMessage,
        machine: &mut dyn StateMachine,
    ) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                self.handle_heartbeat(from, &heartbeat, now);
                self.confirm_disk(now, wall, machine);
            }
            PeerMessage::StaleDisk(objection) => self.handle_stale_disk(from, &objection),
            message @ (PeerMessage::Prepare { .. } | PeerMessage::Accept { .. })
                if !self.own_disk.is_confirmed() =>
            {
                self.own_disk.defer(from, message)
            }
            PeerMessage::Prepare { number, ballot } => {
                self.handle_prepare(from, number, ballot, now)
            }
            PeerMessage::Promise(promise) => self.handle_promise(from, promise, now),
            PeerMessage::Reject { number, promised } => self.handle_reject(number, promised, now),
            PeerMessage::Accept { ballot, view } => self.handle_accept(from, ballot, &view, now),
            PeerMessage::Accepted { number, ballot } => {
                self.handle_accepted(from, number, ballot, now, machine)
            }
            PeerMessage::Decided(view) => self.handle_decided(&view, now, machine),
            message => self.handle_chain_message(now, wall, from, message, machine),
        }
    }

    /// Handles a message that is valid only in the view in which it was sent.
    fn handle_chain_message(
        &mut self,
        now: Millis,
        wall: WallMillis,
        from: ReplicaId,
        message: PeerMessage,
        machine: &mut dyn StateMachine,
    ) {
        if view_of(&message) != Some(self.view().number) {
            return;
        }
        match message {
            PeerMessage::Committed { index, .. } => self.handle_committed(index),
            PeerMessage::RequestEntries { last, .. } => {
                self.handle_entries_request(from, last, now, machine)
            }
            PeerMessage::RequestSnapshotChunk {
                position, number, ..
            } => self.handle_chunk_request(from, position, number, now, machine),
            PeerMessage::Propose {
                proposal,
                role_token,
                command,
                ..
            } if self.is_head() => self.append_at_head(wall, proposal, role_token, command),
            message if self.source() == Some(from) => {
                self.handle_source_message(now, from, message, machine)
            }
            // Messages of the remaining types are accepted from the source only.
            _ => {}
        }
    }

    /// Handles a message that is valid only from the source and in the current view.
    fn handle_source_message(
        &mut self,
        now: Millis,
        from: ReplicaId,
        message: PeerMessage,
        machine: &mut dyn StateMachine,
    ) {
        match message {
            PeerMessage::Append {
                after,
                entries,
                durable,
                ..
            } => self.handle_append(after, entries, durable, now),
            PeerMessage::MissingEntries {
                after,
                entries,
                more,
                ..
            } => {
                let batch = EntryBatch { entries, more };
                self.handle_missing_entries(after, batch, now, machine);
            }
            PeerMessage::SnapshotOffer {
                position, chunks, ..
            } => self.handle_snapshot_offer(position, chunks, now, machine),
            PeerMessage::SnapshotChunk {
                position,
                number,
                checksum,
                bytes,
                ..
            } => {
                let chunk = Chunk {
                    position,
                    number,
                    checksum,
                    bytes,
                };
                self.handle_snapshot_chunk(from, &chunk, now, machine);
            }
            // All other message types are handled by the callers.
            _ => {}
        }
    }

    /// Handles the completion of disk work: everything up to this ticket is durable.
    pub fn handle_persisted(&mut self, ticket: u64, now: Millis, machine: &mut dyn StateMachine) {
        while let Some(done) = self.tickets.pop_completed(ticket) {
            self.fitness.record_disk_work(done.issued_at, now);
            for effect in done.on_durable {
                self.handle_durable(effect);
            }
        }
        self.flush(now, machine);
    }

    fn handle_durable(&mut self, effect: OnDurable) {
        match effect {
            OnDurable::Send { to, message } => self.send(to, message),
            OnDurable::EntriesDurable(index) => {
                let disk = &mut self.chain.disk;
                disk.durable = disk.durable.max(index);
            }
            OnDurable::VotesDurable(votes) => self.own_disk.record_votes(votes),
            OnDurable::RecoveredStateDurable => self.is_recovered_state_durable = true,
        }
    }

    fn handle_heartbeat(&mut self, from: ReplicaId, heartbeat: &Heartbeat, now: Millis) {
        let is_accepted = self.check_disk(from, heartbeat, now);
        if is_accepted && self.membership.handle_heartbeat(from, heartbeat, now) {
            // A new process waits for a heartbeat that reports its own heartbeats as received.
            self.next_heartbeat_at = now;
        }
        if is_accepted {
            self.record_quorum_contact(from, heartbeat);
        }
        let current = self.view();
        if heartbeat.view < current.number {
            let decided = PeerMessage::Decided(current.clone());
            self.send(from.member.address, decided);
        } else if heartbeat.view == current.number && current.tail() == Some(from) {
            self.handle_committed(heartbeat.committed);
        }
    }

    /// Records the echo of one of this replica's heartbeats, unless the sender is sealed, which means that
    /// it has promised a ballot for the view after the one that it reports.
    fn record_quorum_contact(&mut self, from: ReplicaId, heartbeat: &Heartbeat) {
        let echo = report_on(heartbeat, self.settings.own).map_or(0, |report| report.echo);
        if echo > 0 && !heartbeat.sealed {
            self.quorum_contact
                .confirm(from.member, heartbeat.view, echo);
        }
    }

    /// Time until the next heartbeats. It grows with the number of targets, to limit the CPU load in a large group,
    /// but stays short enough for several heartbeats to fit into the suspicion timeout.
    fn heartbeat_interval(&self, targets: usize) -> Millis {
        let spread = targets as u64 * 1000 / MAX_HEARTBEATS_PER_S;
        spread
            .min(self.settings.suspicion_timeout_ms / MIN_HEARTBEATS_PER_SUSPICION)
            .max(self.settings.heartbeat_interval_ms)
    }

    /// The addresses that are sent heartbeats: the monitors on the ring and, whatever the size of the ring, the
    /// replicas whose echoes are needed. Each chain member exchanges heartbeats with the voters, for quorum contact,
    /// and with the tail, for the commit index (`knows_committed`).
    fn heartbeat_targets(&self, now: Millis) -> BTreeSet<u32> {
        let own = self.settings.own;
        let view = self.view();
        let mut targets: BTreeSet<u32> = self.membership.monitors(now).into_iter().collect();
        if view.position(&own).is_some() {
            targets.extend(view.voters.iter().map(|voter| voter.address));
            targets.extend(view.tail().map(|tail| tail.member.address));
        }
        if view.voters.contains(&own.member) || view.tail() == Some(own) {
            targets.extend(view.chain.iter().map(|replica| replica.member.address));
        }
        targets.remove(&own.member.address);
        targets
    }

    fn send_heartbeats(&mut self, targets: &BTreeSet<u32>, now: Millis, own_wall: WallMillis) {
        let heartbeat = Heartbeat {
            sent_at: now,
            sealed: self.agreement.is_sealed(),
            view: self.view().number,
            serving: self.is_serving(),
            unfit: self.is_unfit(now),
            location: self.settings.location,
            reports: self.membership.reports(now),
            wall_ms: own_wall,
            committed: self.chain.committed,
            complete: self.is_complete(),
            disk: Some(Box::new(self.own_disk.report())),
        };
        for address in targets {
            self.send(*address, PeerMessage::Heartbeat(heartbeat.clone()));
        }
    }
}

/// The view in which a message is valid; `None` for messages of the agreement and of the failure detector, which are
/// not bound to a view.
fn view_of(message: &PeerMessage) -> Option<ViewNumber> {
    match message {
        PeerMessage::Append { view, .. }
        | PeerMessage::Committed { view, .. }
        | PeerMessage::RequestEntries { view, .. }
        | PeerMessage::MissingEntries { view, .. }
        | PeerMessage::SnapshotOffer { view, .. }
        | PeerMessage::RequestSnapshotChunk { view, .. }
        | PeerMessage::SnapshotChunk { view, .. }
        | PeerMessage::Propose { view, .. } => Some(*view),
        _ => None,
    }
}
