//! With whom the next view is formed.
use crate::{
    chain_state::Activity,
    membership::{Membership, Peer},
    replica::Replica,
};
use magpiegap_protocol::{Member, Millis, Position, Replica as ReplicaId, View};
use std::collections::BTreeMap;

impl Replica {
    /// Whether this replica's disk has all that was committed so far.
    pub(crate) fn is_complete(&self) -> bool {
        let current = &self.agreement.state.current;
        self.synchronized.is_some_and(|view| current.complete_since(view, &self.settings.own.member))
    }

    /// All that are there and can take part, this replica included. Those that can't for now count where there would
    /// be too few without them: a slow disk is better than none.
    pub(crate) fn alive(&self, now: Millis) -> Vec<ReplicaId> {
        let mut there: Vec<(ReplicaId, bool)> =
            self.peers_there(now).iter().map(|peer| (peer.replica, peer.unfit)).collect();
        there.push((self.settings.own, self.unfit(now)));
        there.sort_unstable();
        let fit: Vec<ReplicaId> =
            there.iter().filter(|(_, unfit)| !unfit).map(|(replica, _)| *replica).collect();
        if fit.len() >= self.settings.copies() {
            return fit;
        }
        there.into_iter().map(|(replica, _)| replica).collect()
    }

    /// Those that the chain is to consist of. One that has yet to catch up stays outside of it meanwhile, unless there
    /// would be too few without it: nothing could be committed then anyway.
    pub(crate) fn wanted(&self, alive: &[ReplicaId]) -> Vec<ReplicaId> {
        let chain = &self.agreement.state.current.chain;
        let own = self.settings.own;
        let caught_up = |replica: &ReplicaId| match *replica == own {
            true => self.is_complete() || self.chain.activity == Activity::Following,
            false => self.membership.peer(&replica.member).is_some_and(|peer| self.has_caught_up(peer)),
        };
        let mut ready: Vec<ReplicaId> =
            alive.iter().copied().filter(|replica| chain.contains(replica)).collect();
        let chain_goes_on = !ready.is_empty();
        for newcomer in alive.iter().filter(|replica| !chain.contains(replica) && caught_up(replica)) {
            // One that some of the chain does not hear would be left out again at once.
            let connected = *newcomer == own || self.membership.says_connected(&newcomer.member, &ready);
            if connected || !chain_goes_on {
                ready.push(*newcomer);
            }
        }
        if ready.len() >= self.settings.copies() {
            return ready;
        }
        alive.to_vec()
    }

    /// The other replicas that are there. A newcomer has to settle, unless all voters are back and nobody serves: then
    /// it disturbs nobody, and all of them wait for the view.
    pub(crate) fn peers_there(&self, now: Millis) -> Vec<Peer> {
        let heard = self.membership.heard(now);
        let current = &self.agreement.state.current;
        let is_back = |voter: &Member| {
            *voter == self.settings.own.member || heard.iter().any(|peer| peer.replica.member == *voter)
        };
        let all_back = current.voters.iter().all(is_back);
        let served = self.serving() || heard.iter().any(|peer| peer.serving);
        if all_back && !served {
            return heard;
        }
        let belongs =
            |peer: &Peer| Membership::has_settled(peer, now) || current.chain.contains(&peer.replica);
        heard.into_iter().filter(belongs).collect()
    }

    /// The next view: all that are there and have caught up, led by one that has all that was committed.
    pub(crate) fn compose_view(
        &self,
        current: &View,
        alive: &[ReplicaId],
        complete: &BTreeMap<Member, Position>,
    ) -> Option<View> {
        let last = |replica: &ReplicaId| complete.get(&replica.member).copied();
        let mut chain = self.wanted(alive);
        let newest = chain.iter().filter_map(last).max()?;
        chain.sort_by_key(|replica| {
            let can_lead = last(replica) == Some(newest);
            let place = current.chain.iter().position(|other| other.member == replica.member);
            (!can_lead, place.unwrap_or(usize::MAX), *replica)
        });
        Some(current.next(self.next_voters(current, alive, &chain), chain))
    }

    /// The voters of the next view: a machine with a new disk takes the place of its old one, a newcomer that of a
    /// voter that is gone, or one more place while there are too few.
    fn next_voters(&self, current: &View, alive: &[ReplicaId], chain: &[ReplicaId]) -> Vec<Member> {
        let wanted = 2 * self.settings.tolerance + 1;
        let mut voters = current.voters.clone();
        let is_alive = |member: &Member| alive.iter().any(|replica| replica.member == *member);
        for newcomer in chain.iter().map(|replica| replica.member) {
            if voters.contains(&newcomer) {
                continue;
            }
            let same_machine = voters.iter().position(|voter| voter.address == newcomer.address);
            let gone = voters.iter().position(|voter| !is_alive(voter));
            match same_machine.or_else(|| gone.filter(|_| voters.len() >= wanted)) {
                Some(place) => voters[place] = newcomer,
                None if voters.len() < wanted => voters.push(newcomer),
                None => {}
            }
        }
        voters.sort_unstable();
        voters
    }
}
