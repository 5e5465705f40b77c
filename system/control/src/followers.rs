//! Passing entries on: to the successor, and from the tail to those that catch up outside of the chain.
use crate::{
    chain_state::Follower,
    replica::{Replica, StateMachine},
};
use magpiegap_protocol::{Millis, PeerMessage, Position, Replica as ReplicaId};

/// A whole state that was sent is not sent again for this long: it may still be on its way.
const STATE_AGAIN_MS: Millis = 1000;
/// A follower is told where its source stands at least this often.
const APPEND_EVERY_MS: Millis = 150;

impl Replica {
    /// Whether a replica gets its entries from this one in the current view.
    fn is_source_of(&self, other: &ReplicaId) -> bool {
        let outside = !self.agreement.state.current.chain.contains(other);
        let is_last = self.own_position().is_some() && self.successor().is_none();
        self.successor() == Some(*other) || (is_last && outside)
    }

    /// Gives another replica what it is missing, and from now on what is new.
    pub(crate) fn give_missing(
        &mut self,
        from: ReplicaId,
        last: Position,
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
        if self.state_is_on_its_way(&from, last, now) {
            return;
        }
        let view = self.agreement.state.current.number;
        let entries = self.chain.log.contains(last).then(|| self.chain.log.after(last.index)).flatten();
        let state_sent = entries.is_none().then_some((last, now));
        let message = match entries {
            Some(entries) => PeerMessage::MissingEntries { view, after: last.index, entries },
            None => self.whole_state(view, machine),
        };
        self.chain.followers.retain(|follower| follower.replica != from);
        let sent = self.chain.log.last().index;
        // It is to be told soon what is on disk.
        let told = (0, now.saturating_sub(APPEND_EVERY_MS));
        self.chain.followers.push(Follower { replica: from, sent, told, state_sent });
        self.send(from.member.address, message);
    }

    fn state_is_on_its_way(&self, to: &ReplicaId, last: Position, now: Millis) -> bool {
        let follower = self.chain.followers.iter().find(|follower| follower.replica == *to);
        let state_sent = follower.and_then(|follower| follower.state_sent);
        state_sent.is_some_and(|(had, at)| had == last && now < at + STATE_AGAIN_MS)
    }

    fn whole_state(&self, view: u64, machine: &mut dyn StateMachine) -> PeerMessage {
        PeerMessage::WholeState {
            view,
            applied: machine.position(),
            state: machine.encode(),
            entries: self.chain.log.after(self.chain.applied).unwrap_or_default(),
        }
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
        let last = self.chain.log.last().index;
        let durable = self.chain_durable();
        let news = last > follower.sent || durable > follower.told.0;
        if !news && now < follower.told.1 + APPEND_EVERY_MS {
            return;
        }
        let Some(entries) = self.chain.log.after(follower.sent) else { return };
        let view = self.agreement.state.current.number;
        let message = PeerMessage::Append { view, after: follower.sent, entries, durable };
        follower.sent = last;
        follower.told = (durable, now);
        self.send(follower.replica.member.address, message);
    }
}
