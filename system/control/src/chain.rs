//! Chain replication (van Renesse and Schneider, 2004): entries and durable indexes are passed down the chain, the tail
//! commits, and each replica applies committed entries. Sending entries to followers is in `replication`.
use crate::{
    catch_up_backoff::CatchUpBackoff, chain_state::Activity, disk_tickets::OnDurable,
    durable_state::DurableRecord, replica::Replica, StateMachine,
};
use magpiegap_protocol::{
    Command, Entry, LogIndex, LogPosition, Millis, PeerMessage, ProposalId, ReplicaId, RoleToken,
    View, WallMillis,
};

/// The longest time for which the head delays new entries while a batch is being written to its disk.
const MAX_BATCH_WAIT_MS: Millis = 20;
/// Maximum number of entries that an inactive replica applies in one step.
const MAX_APPLIED_PER_STEP: u64 = 256;

impl Replica {
    /// The position of this replica in the chain; the head is at 0.
    pub(crate) fn own_position(&self) -> Option<usize> {
        self.agreement.current().position(&self.settings.own)
    }

    fn neighbour(&self, offset: isize) -> Option<ReplicaId> {
        let position = self.own_position()?.checked_add_signed(offset)?;
        self.agreement.current().chain.get(position).copied()
    }

    pub(crate) fn predecessor(&self) -> Option<ReplicaId> {
        self.neighbour(-1)
    }

    pub(crate) fn successor(&self) -> Option<ReplicaId> {
        self.neighbour(1)
    }

    /// Whether this replica is active in the chain now.
    pub fn is_active(&self) -> bool {
        self.chain.activity == Activity::Active && !self.agreement.is_sealed()
    }

    /// Whether every committed entry up to the end of the log is in the log: this replica is active, or a learner that
    /// has caught up.
    pub(crate) fn holds_committed(&self) -> bool {
        matches!(self.chain.activity, Activity::Active | Activity::Following)
    }

    /// Whether this replica is the active head, where writes enter.
    pub fn is_head(&self) -> bool {
        self.is_active() && self.own_position() == Some(0)
    }

    /// Whether this replica is the active tail, where writes are committed.
    pub fn is_tail(&self) -> bool {
        self.is_active() && self.successor().is_none()
    }

    /// Resets the state of the chain for a newly decided view.
    pub(crate) fn enter_view(&mut self, view: &View, now: Millis, machine: &mut dyn StateMachine) {
        self.chain.followers.clear();
        self.chain.source_durable = None;
        self.chain.catch_up_backoff = CatchUpBackoff::new();
        self.chain.pending_requests.clear();
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
            self.complete_up_to = Some(view.number);
            self.persist(
                vec![DurableRecord::CompleteUpTo(view.number)],
                Vec::new(),
                now,
            );
        }
        self.flush(now, machine);
    }

    /// Proposes a command. Returns whether it was appended to the log or forwarded to the head.
    pub fn propose(
        &mut self,
        wall: WallMillis,
        proposal: ProposalId,
        role_token: Option<RoleToken>,
        command: Command,
    ) -> bool {
        if self.is_head() {
            self.append_at_head(wall, proposal, role_token, command);
            return true;
        }
        let Some(head) = self.agreement.current().head() else {
            return false;
        };
        if !self.is_active() {
            return false;
        }
        let view = self.view().number;
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

    /// Appends an entry at the head. It is submitted to the disk and replicated at the end of this step.
    pub(crate) fn append_at_head(
        &mut self,
        wall: WallMillis,
        proposal: ProposalId,
        role_token: Option<RoleToken>,
        command: Command,
    ) {
        let position = LogPosition {
            view: self.view().number,
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

    /// Whether the head's disk is still writing entries. Entries that arrive meanwhile are batched until it is done.
    /// This does not delay commits, which need the head's disk anyway, and saves messages along the entire chain.
    fn is_batch_in_flight(&self, now: Millis) -> bool {
        self.own_position() == Some(0)
            && self.chain.disk.durable < self.chain.disk.submitted
            && now < self.chain.disk.submitted_at + MAX_BATCH_WAIT_MS
    }

    /// Submits new entries to the disk, unless a batch is in flight.
    pub(crate) fn submit_entries_to_disk(&mut self, now: Millis) {
        let last = self.chain.log.last().index;
        if last <= self.chain.disk.submitted || self.is_batch_in_flight(now) {
            return;
        }
        self.chain.disk.submitted_at = now;
        let Some(entries) = self.chain.log.after(self.chain.disk.submitted) else {
            return;
        };
        self.chain.disk.submitted = last;
        let records = vec![
            DurableRecord::Entries(entries),
            DurableRecord::Committed(self.chain.committed),
        ];
        self.persist(records, vec![OnDurable::EntriesDurable(last)], now);
    }

    /// Completes a step: passes new entries to the disk and to followers, commits at the tail, and applies committed
    /// entries.
    pub fn flush(&mut self, now: Millis, machine: &mut dyn StateMachine) {
        if self.is_active() {
            self.serve_pending_requests(now, machine);
            self.submit_entries_to_disk(now);
            self.replicate_to_followers(now);
            self.commit_at_tail();
        }
        if self.chain.activity == Activity::Following {
            self.submit_entries_to_disk(now);
        }
        self.apply_committed(machine);
    }

    /// The last entry that is durable on this replica and on all its predecessors.
    pub(crate) fn chain_durable(&self) -> LogIndex {
        match self.own_position() {
            Some(0) => self.chain.disk.durable,
            _ => self
                .chain
                .disk
                .durable
                .min(self.chain.source_durable.unwrap_or_default()),
        }
    }

    /// Commits, at the tail, the entries that are durable on the entire chain.
    fn commit_at_tail(&mut self) {
        if self.successor().is_some() {
            return;
        }
        let committed = self.chain.committed.max(self.chain_durable());
        let is_newer = committed > self.chain.committed_announced;
        if !is_newer || !self.replica_survives(&self.agreement.current().chain) {
            return;
        }
        self.chain.committed = committed;
        self.chain.committed_announced = committed;
        self.announce_committed();
    }

    /// Sends the commit index to the other members of the chain.
    pub(crate) fn announce_committed(&mut self) {
        let view = self.view().number;
        let index = self.chain.committed;
        let own = self.settings.own;
        let others: Vec<u32> = self
            .agreement
            .current()
            .chain
            .iter()
            .filter(|replica| **replica != own)
            .map(|replica| replica.member.address)
            .collect();
        for address in others {
            self.send(address, PeerMessage::Committed { view, index });
        }
    }

    /// Handles a commit index announced by the tail.
    pub(crate) fn handle_committed(&mut self, index: LogIndex) {
        if self.is_active() {
            self.chain.record_committed(index);
        }
    }

    /// Applies committed entries. There may be many of them after a start, so an inactive replica applies them in
    /// batches: heartbeats are sent in between, and few entries are left to apply once a view is decided.
    fn apply_committed(&mut self, machine: &mut dyn StateMachine) {
        let max_applied = if self.is_active() {
            u64::MAX
        } else {
            MAX_APPLIED_PER_STEP
        };
        let until = self
            .chain
            .committed
            .min(self.chain.applied.saturating_add(max_applied));
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
        self.chain.log.compact(self.chain.applied, needed);
    }
}
