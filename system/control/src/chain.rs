//! The chain: entries pass down, what is on disk is told down, the tail commits.
use crate::{
    chain_state::{Activity, ASK_FIRST_MS},
    durable::DurableRecord,
    replica::{After, Replica},
    StateMachine,
};
use magpiegap_protocol::{
    Command, Entry, LogIndex, LogPosition, Millis, PeerMessage, ProposalId, ReplicaId, RoleToken,
    View, WallMillis,
};

/// The head holds entries back for its disk for this long at most.
const MOST_BATCH_WAIT_MS: Millis = 20;
/// Most entries that a replica which does not take part applies at a time.
const MOST_APPLIED_AT_ONCE: u64 = 256;

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
        self.chain.followers.clear();
        self.chain.source_durable = None;
        self.chain.asked_at = 0;
        self.chain.ask_again_ms = ASK_FIRST_MS;
        self.chain.requests.clear();
        if let Some(incoming) = self.chain.incoming.as_mut() {
            incoming.forget_entries();
        }
        self.chain.activity = match self.own_position() {
            None => Activity::Learning,
            Some(0) if self.is_complete() => Activity::Active,
            Some(0) => Activity::Inactive,
            Some(_) => Activity::Joining,
        };
        if self.chain.activity == Activity::Active {
            self.chain.incoming = None;
            self.synchronized = Some(view.number);
            self.persist(
                vec![DurableRecord::Synchronized(view.number)],
                Vec::new(),
                now,
            );
        }
        self.flush_chain(now, machine);
    }

    /// Proposes a command. Returns whether it is under way: to the log, or to the head.
    pub fn propose(
        &mut self,
        wall: WallMillis,
        proposal: ProposalId,
        role_token: Option<RoleToken>,
        command: Command,
    ) -> bool {
        if self.is_head() {
            self.write(wall, proposal, role_token, command);
            return true;
        }
        let Some(head) = self.agreement.state.current.head() else {
            return false;
        };
        if !self.is_active() {
            return false;
        }
        let view = self.agreement.state.current.number;
        self.send(
            head.member.address,
            PeerMessage::Propose {
                view,
                proposal,
                role_token,
                command,
            },
        );
        true
    }

    /// Adds an entry at the head; it goes on at the end of this step.
    pub(crate) fn write(
        &mut self,
        wall: WallMillis,
        proposal: ProposalId,
        role_token: Option<RoleToken>,
        command: Command,
    ) {
        let position = LogPosition {
            view: self.agreement.state.current.number,
            index: self.chain.log.last().index.next(),
        };
        self.chain.log.push(Entry {
            position,
            proposal,
            role_token,
            command,
            wall_ms: wall,
        });
    }

    /// Whether the head's disk is still at work on entries: what comes meanwhile goes on together once it is done. Nothing
    /// is lost by that, since a commit needs the head's disk too, and the whole chain has fewer messages to deal with.
    fn batch_is_under_way(&self, now: Millis) -> bool {
        self.own_position() == Some(0)
            && self.chain.own_durable < self.chain.handed_to_disk
            && now < self.chain.handed_at + MOST_BATCH_WAIT_MS
    }

    pub(crate) fn hand_entries_to_disk(&mut self, now: Millis) {
        let last = self.chain.log.last().index;
        if last <= self.chain.handed_to_disk || self.batch_is_under_way(now) {
            return;
        }
        self.chain.handed_at = now;
        let Some(entries) = self.chain.log.after(self.chain.handed_to_disk) else {
            return;
        };
        self.chain.handed_to_disk = last;
        let records = vec![
            DurableRecord::Entries(entries),
            DurableRecord::Committed(self.chain.committed),
        ];
        self.persist(records, vec![After::EntriesDurable(last.0)], now);
    }

    /// Hands new entries to the disk and the followers, commits at the tail, and applies what is committed.
    pub(crate) fn flush_chain(&mut self, now: Millis, machine: &mut dyn StateMachine) {
        if self.is_active() {
            self.answer_requests(now, machine);
            self.hand_entries_to_disk(now);
            self.tell_followers(now);
            self.commit_at_tail();
        }
        if self.chain.activity == Activity::Following {
            self.hand_entries_to_disk(now);
        }
        self.apply_committed(machine);
    }

    /// Entries up to this one are on the disks of this replica and of all before it.
    pub(crate) fn chain_durable(&self) -> LogIndex {
        match self.own_position() {
            Some(0) => self.chain.own_durable,
            _ => self
                .chain
                .own_durable
                .min(self.chain.source_durable.unwrap_or_default()),
        }
    }

    fn commit_at_tail(&mut self) {
        let committed = self.chain.committed.max(self.chain_durable());
        let news = committed > self.chain.committed_told;
        if self.successor().is_some()
            || !news
            || !self.leaves_a_copy(&self.agreement.state.current.chain)
        {
            return;
        }
        self.chain.committed = committed;
        self.chain.committed_told = committed;
        self.tell_committed();
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
    pub(crate) fn learn_committed(&mut self, index: LogIndex) {
        if self.is_active() {
            self.chain.committed = self
                .chain
                .committed
                .max(index.min(self.chain.log.last().index));
        }
    }

    /// Applies what is committed. After a start that may be much: while the replica does not take part it is done in
    /// parts, so that it is heard meanwhile, and most is done when the view is agreed.
    fn apply_committed(&mut self, machine: &mut dyn StateMachine) {
        let most = if self.is_active() {
            u64::MAX
        } else {
            MOST_APPLIED_AT_ONCE
        };
        let until = self
            .chain
            .committed
            .min(self.chain.applied.saturating_add(most));
        while self.chain.applied < until {
            let Some(entry) = self.chain.log.get(self.chain.applied.next()) else {
                break;
            };
            machine.apply(entry);
            self.chain.applied = self.chain.applied.next();
        }
        let needed = self
            .chain
            .outgoing
            .as_ref()
            .map_or(LogIndex::MAX, |outgoing| outgoing.position().index);
        self.chain.log.trim(self.chain.applied, needed);
    }
}
