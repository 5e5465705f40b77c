//! Catching up: a replica asks its source for what it is missing. The source is its predecessor in the chain; outside
//! of the chain it is the tail, and the replica is taken into a view once it has caught up, so that no write waits for
//! what is on its way. Entries are told a limited number of bytes at a time.
use crate::{
    chain_state::{Activity, ASK_FIRST_MS},
    durable::DurableRecord,
    peer::Peer,
    replica::Replica,
    transfers::Incoming,
    StateMachine,
};
use magpiegap_protocol::{Entry, LogIndex, Millis, PeerMessage, ReplicaId};

/// A replica whose source has told it nothing for this long asks it.
const SOURCE_SILENT_MS: Millis = 600;
/// Longest time between two requests for what is missing.
const ASK_MOST_MS: Millis = 2000;
/// A replica that knows all that was committed this long ago lacks only what is on its way.
const CLOSE_MS: Millis = 250;

impl Replica {
    /// Who tells this replica what is new.
    pub(crate) fn source(&self) -> Option<ReplicaId> {
        match self.chain.activity {
            Activity::Learning | Activity::Following => self.agreement.state.current.tail(),
            _ => self.predecessor(),
        }
    }

    /// Whether this replica takes entries from its source as they come.
    fn takes_entries(&self) -> bool {
        matches!(self.chain.activity, Activity::Active | Activity::Following)
            && !self.agreement.sealed()
    }

    /// Takes note of what is committed now.
    pub(crate) fn note_committed(&mut self, now: Millis) {
        let chain = &mut self.chain;
        if chain.activity != Activity::Active {
            return;
        }
        chain.committed_at.push_back((now, chain.committed));
        while chain
            .committed_at
            .get(1)
            .is_some_and(|(at, _)| at + CLOSE_MS <= now)
        {
            chain.committed_at.pop_front();
        }
    }

    /// Whether a chain that takes a replica in does not have to wait for it: its disk has all, or lacks only the latest.
    pub(crate) fn has_caught_up(&self, peer: &Peer) -> bool {
        // After a start this replica does not know yet what of its log is committed.
        let last = self.chain.log.last().index;
        let older = self
            .chain
            .committed_at
            .front()
            .map_or(last, |(_, committed)| *committed);
        // One that knows an older view may call itself complete and be wrong.
        let complete =
            peer.status.complete && peer.status.view == self.agreement.state.current.number;
        complete || peer.status.committed >= older
    }

    /// Takes entries from the source.
    pub(crate) fn append(
        &mut self,
        after: LogIndex,
        entries: Vec<Entry>,
        durable: LogIndex,
        now: Millis,
    ) {
        if !self.takes_entries() {
            return;
        }
        self.chain.source_heard_at = now;
        self.chain.source_durable = self.chain.source_durable.max(Some(durable));
        if after > self.chain.log.last().index {
            self.ask_source(now);
            return;
        }
        self.chain.ask_again_ms = ASK_FIRST_MS;
        for entry in entries {
            if entry.position.index == self.chain.log.last().index + 1 {
                self.chain.log.push(entry);
            }
        }
        if self.chain.activity == Activity::Following {
            // What is on the tail's disk is on all disks of the chain.
            let known = durable.min(self.chain.log.last().index);
            self.chain.committed = self.chain.committed.max(known);
        }
    }

    /// Asks the source while this replica waits for what it is missing, and when it has heard nothing for a while: the
    /// source may not know of it.
    pub(crate) fn ask_if_needed(&mut self, now: Millis) {
        let silent = now >= self.chain.source_heard_at + SOURCE_SILENT_MS;
        let needed = match self.chain.activity {
            Activity::Inactive => false,
            Activity::Joining | Activity::Learning => true,
            Activity::Active | Activity::Following => silent && self.takes_entries(),
        };
        if needed {
            self.ask_source(now);
        }
    }

    /// Asks the source for what is missing, not too often.
    fn ask_source(&mut self, now: Millis) {
        let waited =
            self.chain.asked_at == 0 || now >= self.chain.asked_at + self.chain.ask_again_ms;
        let Some(source) = self.source().filter(|_| waited) else {
            return;
        };
        self.chain.asked_at = now.max(1);
        self.chain.ask_again_ms = (2 * self.chain.ask_again_ms).min(ASK_MOST_MS);
        if self.ask_for_parts(source) {
            return;
        }
        let view = self.agreement.state.current.number;
        let last = self
            .chain
            .incoming
            .as_ref()
            .map_or(self.chain.log.last(), Incoming::last);
        self.send(
            source.member.address,
            PeerMessage::Synchronize { view, last },
        );
    }

    /// Asks the source now: what has come just now is not all.
    pub(crate) fn ask_again_at_once(&mut self, now: Millis) {
        self.chain.asked_at = 0;
        self.chain.ask_again_ms = ASK_FIRST_MS;
        self.ask_source(now);
    }

    /// Takes entries that were missing.
    pub(crate) fn take_missing(
        &mut self,
        after: LogIndex,
        mut entries: Vec<Entry>,
        more: bool,
        now: Millis,
        machine: &mut dyn StateMachine,
    ) {
        if self.take_entries_of_incoming(after, &mut entries, more, now, machine) {
            return;
        }
        match self.chain.activity {
            Activity::Inactive => {}
            Activity::Active | Activity::Following => {
                self.append(after, entries, LogIndex(0), now);
                if more {
                    self.ask_again_at_once(now);
                }
            }
            Activity::Joining | Activity::Learning if after == self.chain.log.last().index => {
                entries
                    .into_iter()
                    .for_each(|entry| self.chain.log.push(entry));
                self.hand_entries_to_disk(now);
                if more {
                    self.ask_again_at_once(now);
                    return;
                }
                self.begin_to_take_entries(now);
                if let Some(view) = self
                    .synchronized
                    .filter(|_| self.chain.activity == Activity::Active)
                {
                    self.persist(vec![DurableRecord::Synchronized(view)], Vec::new(), now);
                }
            }
            Activity::Joining | Activity::Learning => {}
        }
    }

    /// From now on the replica takes entries as they come; in the chain it takes part. What it answers for still waits
    /// for its disk.
    pub(crate) fn begin_to_take_entries(&mut self, now: Millis) {
        self.chain.activity = match self.chain.activity {
            Activity::Joining => Activity::Active,
            Activity::Learning => Activity::Following,
            _ => return,
        };
        if self.chain.activity == Activity::Active {
            self.synchronized = Some(self.agreement.state.current.number);
        }
        self.chain.incoming = None;
        self.chain.source_heard_at = now;
        self.chain.ask_again_ms = ASK_FIRST_MS;
        self.chain.followers.clear();
    }
}
