//! Passing entries on: to the successor, and from the tail to those that catch up outside of the chain.
use crate::{chain_state::Follower, log::Run, replica::Replica, StateMachine};
use magpiegap_protocol::{LogIndex, LogPosition, Millis, PeerMessage, ReplicaId};

/// Entries are told in messages of about so many bytes at most.
const MOST_BYTES: usize = 512 << 10;
/// A follower is told where its source stands at least this often.
const APPEND_EVERY_MS: Millis = 150;

impl Replica {
    /// Whether a replica gets its entries from this one in the current view.
    pub(crate) fn is_source_of(&self, other: &ReplicaId) -> bool {
        let outside = !self.agreement.state.current.chain.contains(other);
        let is_last = self.own_position().is_some() && self.successor().is_none();
        self.successor() == Some(*other) || (is_last && outside)
    }

    /// Gives another replica what it is missing, and from now on what is new.
    pub(crate) fn give_missing(
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
            self.chain.requests.insert(from, last);
            return;
        }
        let log = &self.chain.log;
        let run = log
            .contains(last)
            .then(|| log.run_after(last.index, MOST_BYTES))
            .flatten();
        let Some(Run { entries, more }) = run else {
            self.offer_state(from, now, machine);
            return;
        };
        let view = self.agreement.state.current.number;
        if !more {
            // From now on it is told what is new, and soon what is on disk.
            let told = (LogIndex::default(), now.saturating_sub(APPEND_EVERY_MS));
            self.chain
                .followers
                .retain(|follower| follower.replica != from);
            let sent = self.chain.log.last().index;
            self.chain.followers.push(Follower {
                replica: from,
                sent,
                told,
            });
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

    /// Answers what was asked before this replica took part.
    pub(crate) fn answer_requests(&mut self, now: Millis, machine: &mut dyn StateMachine) {
        for (from, last) in std::mem::take(&mut self.chain.requests) {
            self.give_missing(from, last, now, machine);
        }
    }

    /// Tells the followers what is new.
    pub(crate) fn tell_followers(&mut self, now: Millis) {
        let successor = self.successor();
        let membership = &self.membership;
        let stays = |follower: &Follower| {
            successor == Some(follower.replica) || membership.is_heard(&follower.replica, now)
        };
        let mut followers = std::mem::take(&mut self.chain.followers);
        followers.retain(stays);
        for follower in &mut followers {
            self.tell_follower(follower, now);
        }
        self.chain.followers = followers;
    }

    fn tell_follower(&mut self, follower: &mut Follower, now: Millis) {
        let last = self.chain.handed_to_disk;
        let durable = self.chain_durable();
        let news = last > follower.sent || durable > follower.told.0;
        if !news && now < follower.told.1 + APPEND_EVERY_MS {
            return;
        }
        let view = self.agreement.state.current.number;
        loop {
            let after = follower.sent;
            let run = self
                .chain
                .log
                .run_between(after, last.max(after), MOST_BYTES);
            let Some(Run { entries, more }) = run else {
                return;
            };
            follower.sent = entries.last().map_or(after, |entry| entry.position.index);
            follower.told = (durable, now);
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
