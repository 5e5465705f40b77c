//! The composition of the next view: its chain and its voters, from the replicas that are available.
use crate::{chain_state::Activity, membership::Membership, peer::Peer, replica::Replica};
use magpiegap_protocol::{Location, LogPosition, Member, MemberLocation, Millis, ReplicaId, View};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of voters of a view: agreement gets slower with each voter.
const MAX_VOTERS: usize = 9;

impl Replica {
    /// Whether this replica's disk holds all committed entries.
    pub(crate) fn is_complete(&self) -> bool {
        let current = self.agreement.current();
        !self.own_disk.is_stale()
            && self
                .complete_up_to
                .is_some_and(|view| current.complete_since(view, &self.settings.own.member))
    }

    /// All replicas that are reachable and fit, including this one. When the fit replicas alone do not meet the fault
    /// tolerance, the unfit ones are included: a slow disk is better than none.
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
        if self.replica_survives(&fit) {
            fit
        } else {
            reachable
        }
    }

    /// The members of the next chain. A replica that has not caught up stays outside, unless the chain would not meet
    /// the fault tolerance without it: such a chain could not commit anything.
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
        let any_member_left = !ready.is_empty();
        for newcomer in available
            .iter()
            .filter(|replica| !chain.contains(replica) && caught_up(replica))
        {
            // A newcomer without a connection to some chain member would be removed again at once.
            let connected = *newcomer == own
                || self
                    .membership
                    .reports_connection_to(&newcomer.member, &ready, now);
            if connected || !any_member_left {
                ready.push(*newcomer);
            }
        }
        if self.replica_survives(&ready) {
            return ready;
        }
        available.to_vec()
    }

    /// The other replicas that are available. A newcomer must be stable, unless all voters are reachable and no
    /// replica serves: then a view change interrupts no service, and all of them wait for one.
    pub(crate) fn available_peers(&self, now: Millis) -> Vec<Peer> {
        let heard = self.membership.reachable(now);
        let current = self.agreement.current();
        let is_reachable = |voter: &Member| {
            *voter == self.settings.own.member
                || heard.iter().any(|peer| peer.replica.member == *voter)
        };
        let all_reachable = current.voters.iter().all(is_reachable);
        let any_serving = self.is_serving() || heard.iter().any(|peer| peer.status.serving);
        if all_reachable && !any_serving {
            return heard;
        }
        let is_eligible =
            |peer: &Peer| Membership::is_stable(peer, now) || current.chain.contains(&peer.replica);
        heard.into_iter().filter(is_eligible).collect()
    }

    /// The next view. Its chain has a replica that holds all committed entries as its head; `None` when there is no
    /// such replica.
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

    /// The location of a member, as far as it is known.
    fn location(&self, member: &Member) -> Location {
        if *member == self.settings.own.member {
            return self.settings.location;
        }
        match self.membership.peer(member) {
            Some(peer) => peer.status.location,
            None => self.agreement.current().location(member),
        }
    }

    /// Whether at least one of these replicas survives any tolerated loss.
    pub(crate) fn replica_survives(&self, replicas: &[ReplicaId]) -> bool {
        let locations: Vec<Location> = replicas
            .iter()
            .map(|replica| self.location(&replica.member))
            .collect();
        self.settings.tolerance.replica_survives(&locations)
    }

    /// Whether a majority of these voters survives any tolerated loss.
    fn majority_survives(&self, voters: &[Member]) -> bool {
        let locations: Vec<Location> = voters.iter().map(|voter| self.location(voter)).collect();
        self.settings.tolerance.majority_survives(&locations)
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

    /// The voters of the next view. A machine with a new disk replaces its own old disk as a voter. Any other newcomer
    /// replaces an unavailable voter, or is added while there are too few voters.
    fn next_voters(
        &self,
        current: &View,
        available: &[ReplicaId],
        chain: &[ReplicaId],
    ) -> Vec<Member> {
        let mut voters = current.voters.clone();
        let is_available =
            |member: &Member| available.iter().any(|replica| replica.member == *member);
        for newcomer in chain.iter().map(|replica| replica.member) {
            if voters.contains(&newcomer) {
                continue;
            }
            let too_few = self.too_few_voters(&voters);
            let same_machine = voters
                .iter()
                .position(|voter| voter.address == newcomer.address);
            let unavailable = voters.iter().position(|voter| !is_available(voter));
            match same_machine.or_else(|| unavailable.filter(|_| !too_few)) {
                Some(position) => voters[position] = newcomer,
                None if too_few => voters.push(newcomer),
                None => {}
            }
        }
        self.drop_surplus_voters(&mut voters, available);
        voters.sort_unstable();
        voters
    }

    /// Whether another voter is needed: there are fewer than the minimum, or the loss of a zone or region would take a
    /// majority.
    fn too_few_voters(&self, voters: &[Member]) -> bool {
        let below_minimum = voters.len() < self.settings.tolerance.min_voters();
        below_minimum || (voters.len() < MAX_VOTERS && !self.majority_survives(voters))
    }

    /// Removes voters from the largest zone, down to the minimum number of voters, while the loss of a zone or region
    /// would take a majority.
    fn drop_surplus_voters(&self, voters: &mut Vec<Member>, available: &[ReplicaId]) {
        let min_voters = self.settings.tolerance.min_voters();
        while voters.len() > min_voters && !self.majority_survives(voters) {
            let surplus = voters.iter().copied().max_by_key(|member| {
                let zone = self.location(member).zone;
                let voters_in_zone = voters
                    .iter()
                    .filter(|voter| self.location(voter).zone == zone)
                    .count();
                let unavailable = !available.iter().any(|replica| replica.member == *member);
                (voters_in_zone, unavailable)
            });
            voters.retain(|voter| Some(*voter) != surplus);
        }
    }
}
