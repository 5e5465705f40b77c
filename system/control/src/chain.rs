//! The chain: entries pass down, what is on disk is told down, the tail commits.
use crate::{
    chain_state::{Activity, ASK_FIRST_MS},
    durable::DurableRecord,
    log::Log,
    replica::{After, Replica, StateMachine},
};
use magpiegap_protocol::{
    Command, Entry, Fence, Millis, PeerMessage, Position, ProposalId, Replica as ReplicaId, View, WallMillis,
};

/// An active replica whose predecessor has told it nothing for this long asks it.
const PREDECESSOR_SILENT_MS: Millis = 600;
/// Longest time between two requests for what is missing.
const ASK_MOST_MS: Millis = 2000;
/// A replica tells its successor where it stands at least this often.
const APPEND_EVERY_MS: Millis = 150;

impl Replica {
    pub(crate) fn own_position(&self) -> Option<usize> {
        self.agreement.state.current.position(&self.settings.own)
    }

    fn neighbour(&self, offset: isize) -> Option<ReplicaId> {
        let position = self.own_position()?.checked_add_signed(offset)?;
        self.agreement.state.current.chain.get(position).copied()
    }

    pub(crate) fn predecessor(&self) -> Option<ReplicaId> {
        self.neighbour(-1)
    }

    pub(crate) fn successor(&self) -> Option<ReplicaId> {
        self.neighbour(1)
    }

    /// Whether this replica takes part in the chain now.
    pub fn is_active(&self) -> bool {
        self.chain.activity == Activity::Active && !self.agreement.sealed()
    }

    /// Whether writes enter here.
    pub fn is_head(&self) -> bool {
        self.is_active() && self.own_position() == Some(0)
    }

    /// Whether writes are committed here.
    pub fn is_tail(&self) -> bool {
        self.is_active() && self.successor().is_none()
    }

    /// Takes up a view that was agreed.
    pub(crate) fn enter_view(&mut self, view: &View, now: Millis, machine: &mut dyn StateMachine) {
        self.chain.sent = None;
        self.chain.predecessor_durable = 0;
        self.chain.told = (0, now);
        self.chain.asked_at = 0;
        self.chain.ask_again_ms = ASK_FIRST_MS;
        self.chain.asked_by = None;
        self.chain.activity = match self.own_position() {
            None => Activity::Inactive,
            Some(0) if self.is_complete() => Activity::Active,
            Some(0) => Activity::Inactive,
            Some(_) => Activity::Joining,
        };
        if self.chain.activity == Activity::Active {
            self.synchronized = Some(view.number);
            self.persist(vec![DurableRecord::Synchronized(view.number)], Vec::new(), now);
        }
        self.flush_chain(now, machine);
    }

    /// Proposes a command. Returns whether it is under way: to the log, or to the head.
    pub fn propose(
        &mut self,
        wall: WallMillis,
        proposal: ProposalId,
        fence: Option<Fence>,
        command: Command,
    ) -> bool {
        if self.is_head() {
            self.write(wall, proposal, fence, command);
            return true;
        }
        let Some(head) = self.agreement.state.current.head() else { return false };
        if !self.is_active() {
            return false;
        }
        let view = self.agreement.state.current.number;
        self.send(head.member.address, PeerMessage::Propose { view, proposal, fence, command });
        true
    }

    /// Adds an entry at the head; it goes on at the end of this step.
    pub(crate) fn write(
        &mut self,
        wall: WallMillis,
        proposal: ProposalId,
        fence: Option<Fence>,
        command: Command,
    ) {
        let position =
            Position { view: self.agreement.state.current.number, index: self.chain.log.last().index + 1 };
        self.chain.log.push(Entry { position, proposal, fence, command, wall_ms: wall });
    }

    /// Takes entries from the predecessor.
    pub(crate) fn append(&mut self, after: u64, entries: Vec<Entry>, durable: u64, now: Millis) {
        if !self.is_active() {
            return;
        }
        self.chain.predecessor_heard_at = now;
        let last = self.chain.log.last().index;
        if after > last {
            self.ask_predecessor(now);
            return;
        }
        self.chain.ask_again_ms = ASK_FIRST_MS;
        for entry in entries {
            if entry.position.index == self.chain.log.last().index + 1 {
                self.chain.log.push(entry);
            }
        }
        let known = durable.min(self.chain.log.last().index);
        self.chain.predecessor_durable = self.chain.predecessor_durable.max(known);
    }

    /// Asks the predecessor while this replica joins, and when it has heard nothing from it for a while: it may not
    /// know that this replica takes part.
    pub(crate) fn ask_if_needed(&mut self, now: Millis) {
        let silent = now >= self.chain.predecessor_heard_at + PREDECESSOR_SILENT_MS;
        let needed = match self.chain.activity {
            Activity::Inactive => false,
            Activity::Joining => true,
            Activity::Active => silent && self.is_active(),
        };
        if needed {
            self.ask_predecessor(now);
        }
    }

    /// Asks the predecessor for what is missing, not too often.
    pub(crate) fn ask_predecessor(&mut self, now: Millis) {
        let waited = self.chain.asked_at == 0 || now >= self.chain.asked_at + self.chain.ask_again_ms;
        let Some(predecessor) = self.predecessor().filter(|_| waited) else { return };
        self.chain.asked_at = now.max(1);
        self.chain.ask_again_ms = (2 * self.chain.ask_again_ms).min(ASK_MOST_MS);
        let view = self.agreement.state.current.number;
        let last = self.chain.log.last();
        self.send(predecessor.member.address, PeerMessage::Synchronize { view, last });
    }

    /// Gives the successor what it is missing.
    pub(crate) fn give_missing(&mut self, from: ReplicaId, last: Position, machine: &mut dyn StateMachine) {
        if self.successor() != Some(from) {
            return;
        }
        if !self.is_active() {
            self.chain.asked_by = Some((from, last));
            return;
        }
        let view = self.agreement.state.current.number;
        let entries = self.chain.log.contains(last).then(|| self.chain.log.after(last.index)).flatten();
        let message = match entries {
            Some(entries) => PeerMessage::MissingEntries { view, after: last.index, entries },
            None => self.whole_state(view, machine),
        };
        self.chain.sent = Some(self.chain.log.last().index);
        self.chain.told = (0, 0);
        self.send(from.member.address, message);
    }

    fn whole_state(&self, view: u64, machine: &mut dyn StateMachine) -> PeerMessage {
        PeerMessage::WholeState {
            view,
            applied: machine.position(),
            state: machine.encode(),
            entries: self.chain.log.after(self.chain.applied).unwrap_or_default(),
        }
    }

    /// Takes the entries that were missing.
    pub(crate) fn take_missing(&mut self, after: u64, entries: Vec<Entry>, now: Millis) {
        match self.chain.activity {
            Activity::Inactive => {}
            Activity::Active => self.append(after, entries, 0, now),
            Activity::Joining if after == self.chain.log.last().index => {
                entries.into_iter().for_each(|entry| self.chain.log.push(entry));
                self.hand_entries_to_disk(now);
                let view = self.agreement.state.current.number;
                self.activate(view, now);
                self.persist(vec![DurableRecord::Synchronized(view)], Vec::new(), now);
            }
            Activity::Joining => {}
        }
    }

    /// Takes the whole state.
    pub(crate) fn take_whole_state(
        &mut self,
        applied: Position,
        state: &[u8],
        entries: Vec<Entry>,
        now: Millis,
        machine: &mut dyn StateMachine,
    ) {
        let newest = entries.last().map_or(applied, |entry| entry.position).index;
        let fits = match self.chain.activity {
            Activity::Inactive => false,
            Activity::Joining => true,
            // It has come again, and brings nothing new.
            Activity::Active => newest > self.chain.log.last().index,
        };
        if !fits || !machine.restore(state) {
            return;
        }
        self.chain.applied = applied.index;
        self.chain.committed = self.chain.committed.max(applied.index);
        self.chain.log = Log::new(applied, entries);
        if self.chain.activity == Activity::Joining {
            let view = self.agreement.state.current.number;
            self.activate(view, now);
        }
        self.forget_entries_under_way();
        self.chain.own_durable = 0;
        self.chain.handed_to_disk = self.chain.log.last().index;
        self.checkpoint(now, machine);
    }

    /// From now on the replica takes part. What it answers for still waits for its disk.
    fn activate(&mut self, view: u64, now: Millis) {
        self.chain.predecessor_heard_at = now;
        self.chain.ask_again_ms = ASK_FIRST_MS;
        self.synchronized = Some(view);
        self.chain.activity = Activity::Active;
        self.chain.sent = None;
    }

    fn hand_entries_to_disk(&mut self, now: Millis) {
        let last = self.chain.log.last().index;
        if last <= self.chain.handed_to_disk {
            return;
        }
        let Some(entries) = self.chain.log.after(self.chain.handed_to_disk) else { return };
        self.chain.handed_to_disk = last;
        self.persist(vec![DurableRecord::Entries(entries)], vec![After::EntriesDurable(last)], now);
    }

    /// Hands new entries to the disk and the successor, commits at the tail, and applies what is committed.
    pub(crate) fn flush_chain(&mut self, now: Millis, machine: &mut dyn StateMachine) {
        if self.is_active() {
            if let Some((from, last)) = self.chain.asked_by.take() {
                self.give_missing(from, last, machine);
            }
            self.hand_entries_to_disk(now);
            self.tell_successor(now);
            self.commit_at_tail();
        }
        self.apply_committed(machine);
    }

    /// Entries up to this one are on the disks of this replica and of all before it.
    fn chain_durable(&self) -> u64 {
        match self.own_position() {
            Some(0) => self.chain.own_durable,
            _ => self.chain.own_durable.min(self.chain.predecessor_durable),
        }
    }

    fn tell_successor(&mut self, now: Millis) {
        let (Some(successor), Some(sent)) = (self.successor(), self.chain.sent) else { return };
        let last = self.chain.log.last().index;
        let durable = self.chain_durable();
        let news = last > sent || durable > self.chain.told.0;
        if !news && now < self.chain.told.1 + APPEND_EVERY_MS {
            return;
        }
        let Some(entries) = self.chain.log.after(sent) else { return };
        self.chain.sent = Some(last);
        self.chain.told = (durable, now);
        let view = self.agreement.state.current.number;
        self.send(successor.member.address, PeerMessage::Append { view, after: sent, entries, durable });
    }

    fn commit_at_tail(&mut self) {
        if self.successor().is_some() || self.agreement.state.current.chain.len() < self.settings.copies() {
            return;
        }
        self.chain.committed = self.chain.committed.max(self.chain_durable());
        if self.chain.committed > self.chain.committed_told {
            self.chain.committed_told = self.chain.committed;
            self.tell_committed();
        }
    }

    pub(crate) fn tell_committed(&mut self) {
        let view = self.agreement.state.current.number;
        let index = self.chain.committed;
        let own = self.settings.own;
        let others: Vec<u32> = self
            .agreement
            .state
            .current
            .chain
            .iter()
            .filter(|replica| **replica != own)
            .map(|replica| replica.member.address)
            .collect();
        for address in others {
            self.send(address, PeerMessage::Committed { view, index });
        }
    }

    /// Takes the tail's word on what is committed.
    pub(crate) fn learn_committed(&mut self, index: u64) {
        if self.is_active() {
            self.chain.committed = self.chain.committed.max(index.min(self.chain.log.last().index));
        }
    }

    fn apply_committed(&mut self, machine: &mut dyn StateMachine) {
        while self.chain.applied < self.chain.committed {
            let Some(entry) = self.chain.log.get(self.chain.applied + 1) else { break };
            machine.apply(entry);
            self.chain.applied += 1;
        }
        self.chain.log.trim(self.chain.applied);
    }
}
