//! A whole state on its way from one replica to another.
//!
//! The source freezes its state and offers it; the other one asks for the parts, a few at a time, builds the state up, and
//! then asks for the entries that have come since. Only when it has those too it puts all of it, with one checkpoint, into
//! the place of what it had: until then its disk still counts for what it holds. Neither side has more than a few parts
//! in memory, and no write waits for any of it. After a break, also one by a change of the view, it goes on where it was.
use crate::{
    chain_state::{Activity, ASK_FIRST_MS},
    log::Log,
    replica::Replica,
    transfers::{Incoming, Outgoing},
    StateMachine,
};
use magpiegap_protocol::{fnv1a, Entry, LogIndex, LogPosition, Millis, PeerMessage, ReplicaId};

/// How many parts are asked for before the first of them has come.
const CHUNKS_AHEAD: u32 = 4;
/// A frozen state that nobody has asked for this long is dropped.
const KEEP_FROZEN_MS: Millis = 5000;

/// A part of a state, as it was told.
#[derive(Clone, Debug)]
pub(crate) struct Chunk {
    pub position: LogPosition,
    pub number: u32,
    pub checksum: u64,
    pub bytes: Vec<u8>,
}

impl Replica {
    /// Offers another replica the whole state.
    pub(crate) fn offer_state(
        &mut self,
        to: ReplicaId,
        now: Millis,
        machine: &mut dyn StateMachine,
    ) {
        let of_use = |outgoing: &Outgoing| self.chain.log.has_all_after(outgoing.position().index);
        let state = match self.chain.outgoing.take().filter(of_use) {
            Some(outgoing) => outgoing.state,
            None => machine.snapshot(),
        };
        let view = self.view().number;
        let offer = PeerMessage::SnapshotOffer {
            view,
            position: state.position(),
            chunks: state.chunks(),
        };
        self.chain.outgoing = Some(Outgoing {
            state,
            asked_at: now,
        });
        self.send(to.member.address, offer);
    }

    /// Gives another replica a part of a state that was offered, or offers another state in its place.
    pub(crate) fn give_part(
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
            self.offer_state(to, now, machine);
            return;
        };
        outgoing.asked_at = now;
        let bytes = outgoing.state.chunk(number);
        let (view, checksum) = (self.view().number, fnv1a(&bytes));
        let chunk = PeerMessage::SnapshotChunk {
            view,
            position,
            number,
            checksum,
            bytes,
        };
        self.send(to.member.address, chunk);
    }

    /// Lets go of a frozen state that nobody asks for any more.
    pub(crate) fn drop_outgoing(&mut self, now: Millis) {
        let idle = |outgoing: &Outgoing| now >= outgoing.asked_at + KEEP_FROZEN_MS;
        if self.chain.outgoing.as_ref().is_some_and(idle) {
            self.chain.outgoing = None;
        }
    }

    /// The source has a state for this replica.
    pub(crate) fn take_offer(
        &mut self,
        position: LogPosition,
        chunks: u32,
        now: Millis,
        machine: &mut dyn StateMachine,
    ) {
        let is_news = match self.chain.activity {
            Activity::Inactive => false,
            Activity::Joining | Activity::Learning => true,
            Activity::Active | Activity::Following => position.index > self.chain.log.last().index,
        };
        if !is_news {
            return;
        }
        let known = self
            .chain
            .incoming
            .as_ref()
            .map(|incoming| (incoming.position, incoming.chunks));
        if known != Some((position, chunks)) {
            machine.begin_restore();
            self.chain.incoming = Some(Incoming::new(position, chunks));
        }
        self.ask_again_at_once(now);
    }

    /// Asks for what is missing of the state that is being built up; `false` when there is none, or all of it is there.
    pub(crate) fn ask_for_parts(&mut self, source: ReplicaId) -> bool {
        let Some(incoming) = self
            .chain
            .incoming
            .as_ref()
            .filter(|incoming| !incoming.is_whole())
        else {
            return false;
        };
        let (position, next) = (incoming.position, incoming.next);
        let until = incoming.chunks.min(next + CHUNKS_AHEAD);
        for number in next..until {
            self.ask_for_part(source, position, number);
        }
        true
    }

    fn ask_for_part(&mut self, source: ReplicaId, position: LogPosition, number: u32) {
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

    /// Takes the next part of the state.
    pub(crate) fn take_part(
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
        if incoming.position != position || incoming.next != number || incoming.is_whole() {
            return;
        }
        if fnv1a(bytes) != checksum || !machine.add_chunk(bytes) {
            self.chain.incoming = None;
            self.log(format!(
                "part {number} of the state of {} can't be read",
                from.member
            ));
            return;
        }
        incoming.next += 1;
        let (whole, chunks) = (incoming.is_whole(), incoming.chunks);
        self.chain.asked_at = now.max(1);
        self.chain.ask_again_ms = ASK_FIRST_MS;
        let ahead = number + CHUNKS_AHEAD;
        if whole {
            self.ask_again_at_once(now);
        } else if ahead < chunks {
            self.ask_for_part(from, position, ahead);
        }
    }

    /// Takes entries that follow the state, when all of that is there; `false` when none is being built up.
    pub(crate) fn take_entries_of_incoming(
        &mut self,
        after: LogIndex,
        entries: &mut Vec<Entry>,
        more: bool,
        now: Millis,
        machine: &mut dyn StateMachine,
    ) -> bool {
        let Some(incoming) = self
            .chain
            .incoming
            .as_mut()
            .filter(|incoming| incoming.is_whole())
        else {
            return false;
        };
        if after != incoming.last().index {
            return true;
        }
        incoming.entries.append(entries);
        if more {
            self.ask_again_at_once(now);
        } else {
            self.install(now, machine);
        }
        true
    }

    /// Puts the state that was built up, and the entries after it, into the place of what this replica had.
    fn install(&mut self, now: Millis, machine: &mut dyn StateMachine) {
        let Some(incoming) = self.chain.incoming.take() else {
            return;
        };
        if !machine.finish_restore(incoming.position) {
            self.log("the state that was told is not whole".to_owned());
            return;
        }
        self.chain.applied = incoming.position.index;
        self.chain.committed = self.chain.committed.max(incoming.position.index);
        self.chain.log = Log::new(incoming.position, incoming.entries);
        self.begin_to_take_entries(now);
        self.forget_entries_under_way();
        self.chain.own_durable = LogIndex::default();
        self.checkpoint(now, machine);
    }
}
