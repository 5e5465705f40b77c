//! The composition of the next view: its chain and its voters, from the replicas that are available.
use crate::{chain_state::Activity, membership::Membership, peer::Peer, replica::Replica};
use magpiegap_protocol::{Location, LogPosition, Member, MemberLocation, Millis, ReplicaId, View};
use std::collections::{BTreeMap, BTreeSet};

/// Most voters of a view: more of them make agreement slow.
const MAX_VOTERS: usize = 9;

impl Replica {
    /// Whether this replica's disk has all that was committed so far.
    pub(crate) fn is_complete(&self) -> bool {
        let current = self.agreement.current();
        !self.own_disk.is_stale()
            && self
                .synchronized
                .is_some_and(|view| current.complete_since(view, &self.settings.own.member))
    }

    /// All replicas that are reachable and fit, this one included. The unfit ones count where there would be too few
    /// without them: a slow disk is better than none.
    pub(crate) fn available(&self, now: Millis) -> Vec<ReplicaId> {
        let peers = self.available_peers(now);
        let mut reachable: Vec<ReplicaId> = peers.iter().map(|peer| peer.replica).collect();
        reachable.push(self.settings.own);
        reachable.sort_unstable();
        let mut unfit: BTreeSet<ReplicaId> = peers
            .iter()
            .filter(|peer| peer.status.unfit)
            .map(|peer| peer.replica)
            .collect();
        if self.is_unfit(now) {
            unfit.insert(self.settings.own);
        }
        let fit: Vec<ReplicaId> = reachable
            .iter()
            .copied()
            .filter(|replica| !unfit.contains(replica))
            .collect();
        if self.keeps_replica(&fit) {
            fit
        } else {
            reachable
        }
    }

    /// The members of the next chain. A replica that has yet to catch up stays outside of it meanwhile, unless there
    /// would be too few without it: nothing could be committed then anyway.
    pub(crate) fn next_chain(&self, available: &[ReplicaId], now: Millis) -> Vec<ReplicaId> {
        let chain = &self.agreement.current().chain;
        let own = self.settings.own;
        let caught_up = |replica: &ReplicaId| match *replica == own {
            true => self.is_complete() || self.chain.activity == Activity::Following,
            false => self
                .membership
                .peer(&replica.member)
                .is_some_and(|peer| self.has_caught_up(peer)),
        };
        let mut ready: Vec<ReplicaId> = available
            .iter()
            .copied()
            .filter(|replica| chain.contains(replica))
            .collect();
        let chain_goes_on = !ready.is_empty();
        for newcomer in available
            .iter()
            .filter(|replica| !chain.contains(replica) && caught_up(replica))
        {
            // One that some of the chain does not hear would be left out again at once.
            let connected = *newcomer == own
                || self
                    .membership
                    .reports_connection_to(&newcomer.member, &ready, now);
            if connected || !chain_goes_on {
                ready.push(*newcomer);
            }
        }
        if self.keeps_replica(&ready) {
            return ready;
        }
        available.to_vec()
    }

    /// The other replicas that are available. A newcomer has to be stable, unless all voters are back and nobody serves:
    /// then it disturbs nobody, and all of them wait for the view.
    pub(crate) fn available_peers(&self, now: Millis) -> Vec<Peer> {
        let heard = self.membership.reachable(now);
        let current = self.agreement.current();
        let is_back = |voter: &Member| {
            *voter == self.settings.own.member
                || heard.iter().any(|peer| peer.replica.member == *voter)
        };
        let all_back = current.voters.iter().all(is_back);
        let served = self.is_serving() || heard.iter().any(|peer| peer.status.serving);
        if all_back && !served {
            return heard;
        }
        let belongs =
            |peer: &Peer| Membership::is_stable(peer, now) || current.chain.contains(&peer.replica);
        heard.into_iter().filter(belongs).collect()
    }

    /// The next view: all that are available and have caught up, led by one that has all that was committed.
    pub(crate) fn compose_next_view(
        &self,
        current: &View,
        available: &[ReplicaId],
        complete: &BTreeMap<Member, LogPosition>,
        now: Millis,
    ) -> Option<View> {
        let last = |replica: &ReplicaId| complete.get(&replica.member).copied();
        let mut chain = self.next_chain(available, now);
        let newest = chain.iter().filter_map(last).max()?;
        chain.sort_by_key(|replica| {
            let can_lead = last(replica) == Some(newest);
            let position = current
                .chain
                .iter()
                .position(|other| other.member == replica.member);
            (!can_lead, position.unwrap_or(usize::MAX), *replica)
        });
        let voters = self.next_voters(current, available, &chain);
        let locations = self.locations_of(&voters, &chain);
        Some(View {
            locations,
            ..current.next(voters, chain)
        })
    }

    /// The location of a member, as far as that is known.
    fn location(&self, member: &Member) -> Location {
        if *member == self.settings.own.member {
            return self.settings.location;
        }
        match self.membership.peer(member) {
            Some(peer) => peer.status.location,
            None => self.agreement.current().location(member),
        }
    }

    /// Whether any loss that is tolerated keeps one of these replicas.
    pub(crate) fn keeps_replica(&self, replicas: &[ReplicaId]) -> bool {
        let locations: Vec<Location> = replicas
            .iter()
            .map(|replica| self.location(&replica.member))
            .collect();
        self.settings.tolerance.keeps_replica(&locations)
    }

    fn keeps_majority(&self, voters: &[Member]) -> bool {
        let locations: Vec<Location> = voters.iter().map(|voter| self.location(voter)).collect();
        self.settings.tolerance.keeps_majority(&locations)
    }

    fn locations_of(&self, voters: &[Member], chain: &[ReplicaId]) -> Vec<MemberLocation> {
        let members: BTreeSet<Member> = voters
            .iter()
            .copied()
            .chain(chain.iter().map(|replica| replica.member))
            .collect();
        members
            .into_iter()
            .map(|member| MemberLocation {
                member,
                location: self.location(&member),
            })
            .collect()
    }

    /// The voters of the next view: a machine with a new disk takes the seat of its old one, a newcomer that of a
    /// voter that has departed, or one more seat while there are too few.
    fn next_voters(
        &self,
        current: &View,
        available: &[ReplicaId],
        chain: &[ReplicaId],
    ) -> Vec<Member> {
        let mut voters = current.voters.clone();
        let is_alive = |member: &Member| available.iter().any(|replica| replica.member == *member);
        for newcomer in chain.iter().map(|replica| replica.member) {
            if voters.contains(&newcomer) {
                continue;
            }
            let too_few = self.too_few_voters(&voters);
            let same_machine = voters
                .iter()
                .position(|voter| voter.address == newcomer.address);
            let departed = voters.iter().position(|voter| !is_alive(voter));
            match same_machine.or_else(|| departed.filter(|_| !too_few)) {
                Some(position) => voters[position] = newcomer,
                None if too_few => voters.push(newcomer),
                None => {}
            }
        }
        self.drop_surplus_voters(&mut voters, available);
        voters.sort_unstable();
        voters
    }

    /// Whether one more voter is needed: there are few, or the loss of a zone or region would take a majority.
    fn too_few_voters(&self, voters: &[Member]) -> bool {
        let few = voters.len() < self.settings.tolerance.min_voters();
        few || (voters.len() < MAX_VOTERS && !self.keeps_majority(voters))
    }

    /// Where one zone or region has so many voters that its loss would take a majority, some of them give up their vote.
    fn drop_surplus_voters(&self, voters: &mut Vec<Member>, available: &[ReplicaId]) {
        let min_voters = self.settings.tolerance.min_voters();
        while voters.len() > min_voters && !self.keeps_majority(voters) {
            let surplus = voters.iter().copied().max_by_key(|member| {
                let zone = self.location(member).zone;
                let beside = voters
                    .iter()
                    .filter(|voter| self.location(voter).zone == zone)
                    .count();
                let departed = !available.iter().any(|replica| replica.member == *member);
                (beside, departed)
            });
            voters.retain(|voter| Some(*voter) != surplus);
        }
    }
}
