//! Replication: sending entries to followers, which are the successor and, at the tail, the learners.
use crate::{log::EntryBatch, progress::FollowerProgress, replica::Replica, StateMachine};
use magpiegap_protocol::{LogPosition, Millis, PeerMessage, ReplicaId};

/// Approximate limit on the bytes of entries in one message.
const MAX_MESSAGE_BYTES: usize = 512 << 10;

impl Replica {
    /// Whether another replica receives its entries from this one in the current view.
    pub(crate) fn is_source_of(&self, other: &ReplicaId) -> bool {
        let outside = !self.agreement.current().chain.contains(other);
        let is_last = self.own_position().is_some() && self.successor().is_none();
        self.successor() == Some(*other) || (is_last && outside)
    }

    /// Handles a follower's request for missing entries. Sends the next batch, or offers a snapshot when the log does
    /// not contain the follower's last entry. A follower that gets the last batch is sent new entries from then on.
    pub(crate) fn handle_entries_request(
        &mut self,
        from: ReplicaId,
        last: LogPosition,
        now: Millis,
        machine: &mut dyn StateMachine,
    ) {
        if !self.is_source_of(&from) {
            return;
        }
        if !self.is_active() {
            self.chain.pending_requests.insert(from, last);
            return;
        }
        let log = &self.chain.log;
        let batch = log
            .contains(last)
            .then(|| log.batch_after(last.index, MAX_MESSAGE_BYTES))
            .flatten();
        let Some(EntryBatch { entries, more }) = batch else {
            self.offer_snapshot(from, now, machine);
            return;
        };
        let view = self.view().number;
        if !more {
            self.add_follower(from, now);
        }
        self.send(
            from.member.address,
            PeerMessage::MissingEntries {
                view,
                after: last.index,
                entries,
                more,
            },
        );
    }

    /// Handles the requests received before this replica was active.
    pub(crate) fn serve_pending_requests(&mut self, now: Millis, machine: &mut dyn StateMachine) {
        for (from, last) in std::mem::take(&mut self.chain.pending_requests) {
            self.handle_entries_request(from, last, now, machine);
        }
    }

    /// Sends new entries and the durable index to all followers.
    pub(crate) fn replicate_to_followers(&mut self, now: Millis) {
        let successor = self.successor();
        let membership = &self.membership;
        let is_retained = |follower: &FollowerProgress| {
            successor == Some(follower.replica) || membership.is_reachable(&follower.replica, now)
        };
        let mut followers = std::mem::take(&mut self.chain.followers);
        followers.retain(is_retained);
        for follower in &mut followers {
            self.replicate_to(follower, now);
        }
        self.chain.followers = followers;
    }

    /// Registers a follower that has all entries of the log: it is sent new ones and the durable index from now on.
    fn add_follower(&mut self, replica: ReplicaId, now: Millis) {
        let sent = self.chain.log.last().index;
        let followers = &mut self.chain.followers;
        followers.retain(|follower| follower.replica != replica);
        followers.push(FollowerProgress::new(replica, sent, now));
    }

    fn replicate_to(&mut self, follower: &mut FollowerProgress, now: Millis) {
        let last = self.chain.disk.submitted;
        let durable = self.chain_durable();
        if !follower.needs_append(last, durable, now) {
            return;
        }
        let view = self.view().number;
        loop {
            let after = follower.sent;
            let batch = self
                .chain
                .log
                .batch_between(after, last.max(after), MAX_MESSAGE_BYTES);
            let Some(EntryBatch { entries, more }) = batch else {
                return;
            };
            let sent = entries.last().map_or(after, |entry| entry.position.index);
            follower.record_append(sent, durable, now);
            let message = PeerMessage::Append {
                view,
                after,
                entries,
                durable,
            };
            self.send(follower.replica.member.address, message);
            if !more {
                return;
            }
        }
    }
}
