//! Catch-up: a replica requests missing entries from its source. In the chain, the source is the predecessor. Outside
//! the chain, it is the tail; the replica joins the chain only after it has caught up, so that no write waits for the
//! transfer. Entries are sent in batches of limited size.
use crate::{
    catch_up_backoff::CatchUpBackoff, chain_state::Activity, durable_state::DurableRecord,
    log::EntryBatch, peer::Peer, replica::Replica, snapshot_progress::IncomingSnapshot,
    StateMachine,
};
use magpiegap_protocol::{Entry, LogIndex, Millis, PeerMessage, ReplicaId};

/// A replica that has received nothing from its source for this long sends a request.
const SOURCE_TIMEOUT_MS: Millis = 600;

impl Replica {
    /// The replica that sends entries to this one.
    pub(crate) fn source(&self) -> Option<ReplicaId> {
        match self.chain.activity {
            Activity::Learning | Activity::Following => self.agreement.current().tail(),
            _ => self.predecessor(),
        }
    }

    /// Whether this replica accepts appends from its source.
    fn accepts_entries(&self) -> bool {
        matches!(self.chain.activity, Activity::Active | Activity::Following)
            && !self.agreement.is_sealed()
    }

    /// Records a sample of the commit index while this replica is active.
    pub(crate) fn record_commit_index(&mut self, now: Millis) {
        if self.chain.activity != Activity::Active {
            return;
        }
        let committed = self.chain.committed;
        self.chain.commit_history.record(committed, now);
    }

    /// Whether a replica can join the chain without delaying commits: it lacks at most the latest entries.
    pub(crate) fn has_caught_up(&self, peer: &Peer) -> bool {
        // After a start this replica does not know yet which of its entries are committed, so it compares with its
        // entire log.
        let last = self.chain.log.last().index;
        let older = self.chain.commit_history.oldest().unwrap_or(last);
        // A replica that knows only an older view may wrongly report to be complete.
        let complete = peer.status.complete && peer.status.view == self.view().number;
        complete || peer.status.committed >= older
    }

    /// Handles new entries from the source.
    pub(crate) fn handle_append(
        &mut self,
        after: LogIndex,
        entries: Vec<Entry>,
        durable: LogIndex,
        now: Millis,
    ) {
        if !self.accepts_entries() {
            return;
        }
        self.chain.source_last_heard = now;
        self.chain.source_durable = self.chain.source_durable.max(Some(durable));
        if after > self.chain.log.last().index {
            self.request_missing(now);
            return;
        }
        self.chain.catch_up_backoff.shorten();
        for entry in entries {
            if entry.position.index == self.chain.log.last().index.next() {
                self.chain.log.push(entry);
            }
        }
        // What is durable at the tail is durable on the entire chain. A chain that is too short for the fault tolerance
        // commits nothing, whatever is durable.
        if self.chain.activity == Activity::Following
            && self.replica_survives(&self.agreement.current().chain)
        {
            self.chain.record_committed(durable);
        }
    }

    /// Requests missing entries while this replica is catching up. Also sends a request when the source has timed out,
    /// since the source may not have this replica among its followers.
    pub(crate) fn request_missing_if_needed(&mut self, now: Millis) {
        let has_timed_out = now >= self.chain.source_last_heard + SOURCE_TIMEOUT_MS;
        let needed = match self.chain.activity {
            Activity::Inactive => false,
            Activity::Joining | Activity::Learning => true,
            Activity::Active | Activity::Following => has_timed_out && self.accepts_entries(),
        };
        if needed {
            self.request_missing(now);
        }
    }

    /// Requests missing chunks or entries from the source, unless the backoff requires waiting.
    fn request_missing(&mut self, now: Millis) {
        if !self.chain.catch_up_backoff.allows_request(now) {
            return;
        }
        let Some(source) = self.source() else {
            return;
        };
        self.chain.catch_up_backoff.record_request(now);
        if self.request_chunks(source) {
            return;
        }
        let view = self.view().number;
        let last = self
            .chain
            .incoming
            .as_ref()
            .map_or(self.chain.log.last(), IncomingSnapshot::last);
        self.send(
            source.member.address,
            PeerMessage::RequestEntries { view, last },
        );
    }

    /// Resets the backoff and requests the next chunks or entries at once.
    pub(crate) fn request_missing_now(&mut self, now: Millis) {
        self.chain.catch_up_backoff = CatchUpBackoff::new();
        self.request_missing(now);
    }

    /// Handles a batch of missing entries, which follow the entry `after`.
    pub(crate) fn handle_missing_entries(
        &mut self,
        after: LogIndex,
        batch: EntryBatch,
        now: Millis,
        machine: &mut dyn StateMachine,
    ) {
        if self.is_incoming_snapshot_received() {
            self.extend_incoming_snapshot(after, batch, now, machine);
            return;
        }
        match self.chain.activity {
            Activity::Inactive => {}
            Activity::Active | Activity::Following => {
                self.handle_append(after, batch.entries, LogIndex(0), now);
                if batch.more {
                    self.request_missing_now(now);
                }
            }
            Activity::Joining | Activity::Learning => {
                if after == self.chain.log.last().index {
                    self.extend_log(batch, now);
                }
            }
        }
    }

    /// Appends a batch of missing entries to the log. After the last batch the replica has caught up.
    fn extend_log(&mut self, batch: EntryBatch, now: Millis) {
        for entry in batch.entries {
            self.chain.log.push(entry);
        }
        self.submit_entries_to_disk(now);
        if batch.more {
            self.request_missing_now(now);
            return;
        }
        self.finish_catch_up(now);
        if self.chain.activity != Activity::Active {
            return;
        }
        if let Some(view) = self.complete_up_to {
            self.persist(vec![DurableRecord::CompleteUpTo(view)], Vec::new(), now);
        }
    }

    /// Completes the catch-up: the replica accepts appends from now on, and a chain member becomes active. It still
    /// acknowledges only what is durable on its own disk.
    pub(crate) fn finish_catch_up(&mut self, now: Millis) {
        self.chain.activity = match self.chain.activity {
            Activity::Joining => Activity::Active,
            Activity::Learning => Activity::Following,
            _ => return,
        };
        if self.chain.activity == Activity::Active {
            self.complete_up_to = Some(self.view().number);
        }
        self.chain.incoming = None;
        self.chain.source_last_heard = now;
        self.chain.catch_up_backoff.shorten();
        self.chain.followers.clear();
    }
}
