//! The transfer of a snapshot from one replica to another.
//!
//! The source takes a snapshot and offers it. The follower requests the chunks, a few at a time, restores the state,
//! and then requests the entries after the snapshot. Only once it has these entries too, it replaces its state with a
//! single checkpoint; until then its old state stays valid. Neither side buffers more than a few encoded chunks, and
//! no write waits for the transfer. After an interruption, for example by a view change, the transfer resumes with the
//! next missing chunk.
use crate::{
    chain_state::Activity,
    log::{EntryBatch, Log},
    replica::Replica,
    snapshot_progress::{IncomingSnapshot, OutgoingSnapshot},
    StateMachine,
};
use magpiegap_protocol::{fnv1a, LogIndex, LogPosition, Millis, PeerMessage, ReplicaId};
use std::fmt;

/// Maximum number of requested chunks that are in flight.
const MAX_CHUNKS_IN_FLIGHT: u32 = 4;
/// An offered snapshot of which no chunk was requested for this long is dropped.
const OUTGOING_SNAPSHOT_TTL_MS: Millis = 5000;

/// A received chunk of a snapshot.
#[derive(Clone, Debug)]
pub(crate) struct Chunk {
    pub position: LogPosition,
    pub number: u32,
    pub checksum: u64,
    pub bytes: Vec<u8>,
}

impl Replica {
    /// Offers a snapshot to a follower. The previous one is reused while the log still covers the entries after it.
    pub(crate) fn offer_snapshot(
        &mut self,
        to: ReplicaId,
        now: Millis,
        machine: &mut dyn StateMachine,
    ) {
        let is_usable =
            |outgoing: &OutgoingSnapshot| self.chain.log.covers(outgoing.position().index);
        let state = match self.chain.outgoing.take().filter(is_usable) {
            Some(outgoing) => outgoing.state,
            None => machine.snapshot(),
        };
        let view = self.view().number;
        let offer = PeerMessage::SnapshotOffer {
            view,
            position: state.position(),
            chunks: state.chunks(),
        };
        self.chain.outgoing = Some(OutgoingSnapshot {
            state,
            last_requested_at: now,
        });
        self.send(to.member.address, offer);
    }

    /// Handles a request for a chunk of an offered snapshot. When that snapshot was dropped, another one is offered.
    pub(crate) fn handle_chunk_request(
        &mut self,
        to: ReplicaId,
        position: LogPosition,
        number: u32,
        now: Millis,
        machine: &mut dyn StateMachine,
    ) {
        if !self.is_source_of(&to) || !self.is_active() {
            return;
        }
        let Some(outgoing) = self
            .chain
            .outgoing
            .as_mut()
            .filter(|known| known.position() == position)
        else {
            self.offer_snapshot(to, now, machine);
            return;
        };
        outgoing.last_requested_at = now;
        let bytes = outgoing.state.chunk(number);
        let checksum = fnv1a(&bytes);
        let view = self.view().number;
        let chunk = PeerMessage::SnapshotChunk {
            view,
            position,
            number,
            checksum,
            bytes,
        };
        self.send(to.member.address, chunk);
    }

    /// Drops the offered snapshot when it is no longer requested.
    pub(crate) fn expire_outgoing_snapshot(&mut self, now: Millis) {
        let idle = |outgoing: &OutgoingSnapshot| {
            now >= outgoing.last_requested_at + OUTGOING_SNAPSHOT_TTL_MS
        };
        if self.chain.outgoing.as_ref().is_some_and(idle) {
            self.chain.outgoing = None;
        }
    }

    /// Handles a snapshot offer from the source.
    pub(crate) fn handle_snapshot_offer(
        &mut self,
        position: LogPosition,
        chunks: u32,
        now: Millis,
        machine: &mut dyn StateMachine,
    ) {
        let is_newer = match self.chain.activity {
            Activity::Inactive => false,
            Activity::Joining | Activity::Learning => true,
            Activity::Active | Activity::Following => position.index > self.chain.log.last().index,
        };
        if !is_newer {
            return;
        }
        let known = self
            .chain
            .incoming
            .as_ref()
            .map(|incoming| (incoming.position, incoming.chunks));
        if known != Some((position, chunks)) {
            machine.begin_restore();
            self.chain.incoming = Some(IncomingSnapshot::new(position, chunks));
        }
        self.request_missing_now(now);
    }

    /// Requests the next chunks of the incoming snapshot. Returns `false` when there is no incoming snapshot, or all
    /// chunks were received.
    pub(crate) fn request_chunks(&mut self, source: ReplicaId) -> bool {
        let Some(incoming) = self
            .chain
            .incoming
            .as_ref()
            .filter(|incoming| !incoming.has_all_chunks())
        else {
            return false;
        };
        let position = incoming.position;
        let first = incoming.next;
        let until = incoming.chunks.min(first + MAX_CHUNKS_IN_FLIGHT);
        for number in first..until {
            self.request_chunk(source, position, number);
        }
        true
    }

    fn request_chunk(&mut self, source: ReplicaId, position: LogPosition, number: u32) {
        let view = self.view().number;
        self.send(
            source.member.address,
            PeerMessage::RequestSnapshotChunk {
                view,
                position,
                number,
            },
        );
    }

    /// Handles the next chunk of the incoming snapshot.
    pub(crate) fn handle_snapshot_chunk(
        &mut self,
        from: ReplicaId,
        chunk: &Chunk,
        now: Millis,
        machine: &mut dyn StateMachine,
    ) {
        let Chunk {
            position,
            number,
            checksum,
            ref bytes,
        } = *chunk;
        let Some(incoming) = self.chain.incoming.as_mut() else {
            return;
        };
        if incoming.position != position || incoming.next != number || incoming.has_all_chunks() {
            return;
        }
        if fnv1a(bytes) != checksum {
            self.reject_snapshot(from, number, "checksum mismatch");
            return;
        }
        if let Err(error) = machine.add_chunk(bytes) {
            self.reject_snapshot(from, number, error);
            return;
        }
        incoming.next += 1;
        let is_received = incoming.has_all_chunks();
        let chunks = incoming.chunks;
        self.chain.catch_up_backoff.record_response(now);
        let next_request = number + MAX_CHUNKS_IN_FLIGHT;
        if is_received {
            self.request_missing_now(now);
        } else if next_request < chunks {
            self.request_chunk(from, position, next_request);
        }
    }

    /// Whether there is an incoming snapshot with all chunks, so that only entries are missing.
    pub(crate) fn is_incoming_snapshot_received(&self) -> bool {
        let incoming = self.chain.incoming.as_ref();
        incoming.is_some_and(IncomingSnapshot::has_all_chunks)
    }

    /// Adds a batch of entries to the fully received snapshot. After the last batch the snapshot is installed.
    pub(crate) fn extend_incoming_snapshot(
        &mut self,
        after: LogIndex,
        mut batch: EntryBatch,
        now: Millis,
        machine: &mut dyn StateMachine,
    ) {
        let Some(incoming) = self.chain.incoming.as_mut() else {
            return;
        };
        if after != incoming.last().index {
            return;
        }
        incoming.entries.append(&mut batch.entries);
        if batch.more {
            self.request_missing_now(now);
        } else {
            self.install_snapshot(now, machine);
        }
    }

    /// Discards the incoming snapshot because of an invalid chunk. Later requests make the source offer one again.
    fn reject_snapshot(&mut self, from: ReplicaId, number: u32, error: impl fmt::Display) {
        self.chain.incoming = None;
        self.log(format!(
            "rejected snapshot chunk chunk={number} peer={} error={error}",
            from.member
        ));
    }

    /// Replaces this replica's state and log by the incoming snapshot and the entries after it.
    fn install_snapshot(&mut self, now: Millis, machine: &mut dyn StateMachine) {
        let Some(incoming) = self.chain.incoming.take() else {
            return;
        };
        if let Err(error) = machine.finish_restore(incoming.position) {
            self.log(format!("failed to install incoming snapshot error={error}"));
            return;
        }
        self.chain.applied = incoming.position.index;
        self.chain.committed = self.chain.committed.max(incoming.position.index);
        self.chain.log = Log::new(incoming.position, incoming.entries);
        self.finish_catch_up(now);
        self.tickets.forget_entries_in_flight();
        self.chain.disk.durable = LogIndex::default();
        self.checkpoint(now, machine);
    }
}
