//! When the next view is proposed and by whom, and the messages of the agreement on it.
use crate::{
    durable::DurableRecord,
    peer::Peer,
    replica::{After, Replica},
    view_reason::ViewReason,
    StateMachine,
};
use magpiegap_protocol::{
    Ballot, Member, Millis, PeerMessage, Promise, ReplicaId, View, ViewNumber,
};
use rand::Rng;
use std::collections::BTreeSet;

/// How long each further candidate waits before it proposes in place of those before it.
const RANK_DELAY_MS: Millis = 250;
/// A round that has led to nothing is given up after this time.
const ROUND_TIMEOUT_MS: Millis = 500;
/// How long a proposer waits for more than a majority of promises.
const PROMISE_WAIT_MS: Millis = 60;
/// A member of the chain that does not take part is replaced, or taken in anew, after this time.
const IDLE_MEMBER_MS: Millis = 500;

impl Replica {
    /// Proposes the next view when one is needed and it is this replica's turn.
    pub(crate) fn check_view(&mut self, now: Millis) {
        if self
            .agreement
            .round
            .as_ref()
            .is_some_and(|round| now < round.started_at + ROUND_TIMEOUT_MS)
        {
            self.propose_view(now);
            return;
        }
        self.agreement.round = None;
        let alive = self.alive(now);
        let Some(reason) = self.view_needed(&alive, now) else {
            self.needed_since = None;
            return;
        };
        let needed_since = *self.needed_since.get_or_insert(now);
        let Some(rank) = self.proposer_rank(&alive) else {
            return;
        };
        if now >= needed_since + rank * RANK_DELAY_MS && now >= self.next_round_at {
            self.begin_round(&reason, now);
        }
    }

    /// Why another view is needed; `None`: it is not.
    fn view_needed(&self, alive: &[ReplicaId], now: Millis) -> Option<ViewReason> {
        let current = &self.agreement.state.current;
        let voters = alive
            .iter()
            .filter(|replica| current.voters.contains(&replica.member))
            .count();
        if voters < current.majority() {
            return None;
        }
        let wanted: BTreeSet<ReplicaId> = self.wanted(alive, now).into_iter().collect();
        let chain: BTreeSet<ReplicaId> = current.chain.iter().copied().collect();
        if let Some(newcomer) = wanted.difference(&chain).next() {
            return Some(ViewReason::Newcomer(*newcomer));
        }
        if let Some(gone) = chain.difference(&wanted).next() {
            return Some(ViewReason::Gone(*gone));
        }
        if self.agreement.sealed() {
            return Some(ViewReason::Unfinished);
        }
        self.idle_member(now).map(ViewReason::Idle)
    }

    /// A member of the chain that is there and has not taken part for a while.
    fn idle_member(&self, now: Millis) -> Option<ReplicaId> {
        if now < self.view_since + IDLE_MEMBER_MS {
            return None;
        }
        let current = &self.agreement.state.current;
        let idle = |peer: &Peer| peer.status.view == current.number && !peer.status.serving;
        let own = self.settings.own;
        let is_idle = |replica: &&ReplicaId| match **replica == own {
            true => !self.serving(),
            false => self.membership.peer(&replica.member).is_some_and(idle),
        };
        current.chain.iter().find(is_idle).copied()
    }

    /// How many are to propose before this replica; `None` when it has no vote, or is outside of a chain of which
    /// others are there: they know better who can take part.
    fn proposer_rank(&self, alive: &[ReplicaId]) -> Option<u64> {
        let current = &self.agreement.state.current;
        let mut candidates: Vec<ReplicaId> = alive
            .iter()
            .copied()
            .filter(|replica| current.voters.contains(&replica.member))
            .collect();
        candidates
            .sort_by_key(|replica| (current.position(replica).unwrap_or(usize::MAX), *replica));
        let first = candidates.first()?;
        if current.position(first).is_some() && self.own_position().is_none() {
            return None;
        }
        let own = candidates
            .iter()
            .position(|replica| *replica == self.settings.own)?;
        Some(own as u64)
    }

    fn begin_round(&mut self, reason: &ViewReason, now: Millis) {
        self.next_round_at = now + ROUND_TIMEOUT_MS + self.random.gen_range(0..200);
        let ballot = self
            .agreement
            .begin(self.settings.own.incarnation as u32, now);
        let number = self.agreement.next_number();
        self.log(format!("proposes view {number}: {reason}"));
        let message = PeerMessage::Prepare { number, ballot };
        self.send_to_voters(&message);
    }

    fn send_to_voters(&mut self, message: &PeerMessage) {
        let voters: Vec<Member> = self.agreement.state.current.voters.clone();
        for voter in voters {
            self.send(voter.address, message.clone());
        }
    }

    /// A proposer asks for the agreement on the next view.
    pub(crate) fn prepare(
        &mut self,
        from: ReplicaId,
        number: ViewNumber,
        ballot: Ballot,
        now: Millis,
    ) {
        if !self.takes_part(from, number) {
            return;
        }
        match self.agreement.promise(ballot) {
            Ok(accepted) => {
                let complete = self.is_complete().then(|| self.chain.log.last());
                let promise = PeerMessage::Promise(Promise {
                    number,
                    ballot,
                    accepted,
                    complete,
                });
                self.persist_agreement(vec![After::Send(from.member.address, promise)], now);
            }
            Err(promised) => self.send(
                from.member.address,
                PeerMessage::Reject { number, promised },
            ),
        }
    }

    /// Whether this replica votes on that view. Tells a proposer that lies behind.
    fn takes_part(&mut self, from: ReplicaId, number: ViewNumber) -> bool {
        if !self.started {
            return false;
        }
        let current = &self.agreement.state.current;
        if number <= current.number {
            let decided = PeerMessage::Decided(current.clone());
            self.send(from.member.address, decided);
            return false;
        }
        number == current.number.next() && current.voters.contains(&self.settings.own.member)
    }

    /// A voter takes part in this replica's round.
    pub(crate) fn promised(&mut self, from: ReplicaId, promise: Promise, now: Millis) {
        let number = self.agreement.next_number();
        let voter = self.agreement.state.current.voters.contains(&from.member);
        let Some(round) = self.agreement.round.as_mut() else {
            return;
        };
        if promise.number != number || promise.ballot != round.ballot || !voter {
            return;
        }
        round.promises.insert(from.member, promise);
        self.propose_view(now);
    }

    /// Proposes a view once enough voters take part.
    fn propose_view(&mut self, now: Millis) {
        let current = self.agreement.state.current.clone();
        let alive = self.alive(now);
        let Some(round) = self.agreement.round.as_ref() else {
            return;
        };
        if round.proposed.is_some() || !round.has_majority(&current) {
            return;
        }
        let expected = alive
            .iter()
            .filter(|replica| current.voters.contains(&replica.member))
            .count();
        if round.promises.len() < expected && now < round.started_at + PROMISE_WAIT_MS {
            return;
        }
        let compose = || self.compose_view(&current, &alive, &round.complete(), now);
        let view = round.bound_view().or_else(compose);
        let Some(view) = view else { return };
        let ballot = round.ballot;
        if let Some(round) = self.agreement.round.as_mut() {
            round.proposed = Some((view.clone(), BTreeSet::new()));
        }
        self.send_to_voters(&PeerMessage::Accept { ballot, view });
    }

    /// A proposer asks to accept a view.
    pub(crate) fn accept_view(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        view: &View,
        now: Millis,
    ) {
        if !self.takes_part(from, view.number) {
            return;
        }
        let number = view.number;
        match self.agreement.accept(ballot, view) {
            Ok(()) => {
                let accepted = PeerMessage::Accepted { number, ballot };
                self.persist_agreement(vec![After::Send(from.member.address, accepted)], now);
            }
            Err(promised) => self.send(
                from.member.address,
                PeerMessage::Reject { number, promised },
            ),
        }
    }

    /// A voter has accepted the view of this replica's round.
    pub(crate) fn accepted(
        &mut self,
        from: ReplicaId,
        number: ViewNumber,
        ballot: Ballot,
        now: Millis,
        machine: &mut dyn StateMachine,
    ) {
        let current = &self.agreement.state.current;
        if number != current.number.next() || !current.voters.contains(&from.member) {
            return;
        }
        let majority = current.majority();
        let Some(round) = self
            .agreement
            .round
            .as_mut()
            .filter(|round| round.ballot == ballot)
        else {
            return;
        };
        let Some((view, accepted)) = round.proposed.as_mut() else {
            return;
        };
        accepted.insert(from.member);
        if accepted.len() >= majority {
            let view = view.clone();
            self.announce(&view, now);
            self.decided(&view, now, machine);
        }
    }

    fn announce(&mut self, view: &View, now: Millis) {
        let mut addresses: BTreeSet<u32> = self
            .peers_there(now)
            .iter()
            .map(|p| p.replica.member.address)
            .collect();
        addresses.extend(view.voters.iter().map(|voter| voter.address));
        addresses.extend(view.chain.iter().map(|replica| replica.member.address));
        addresses.remove(&self.settings.own.member.address);
        for address in addresses {
            self.send(address, PeerMessage::Decided(view.clone()));
        }
    }

    /// A higher ballot is under way.
    pub(crate) fn rejected(&mut self, number: ViewNumber, promised: Ballot, now: Millis) {
        if number != self.agreement.next_number() {
            return;
        }
        self.agreement.highest_round = self.agreement.highest_round.max(promised.round);
        if self
            .agreement
            .round
            .as_ref()
            .is_some_and(|round| round.ballot < promised)
        {
            self.agreement.round = None;
            self.next_round_at = now + ROUND_TIMEOUT_MS / 2 + self.random.gen_range(0..200);
        }
    }

    /// Takes up a view that was agreed.
    pub(crate) fn decided(&mut self, view: &View, now: Millis, machine: &mut dyn StateMachine) {
        if !self.agreement.decide(view) {
            return;
        }
        self.view_since = now;
        self.needed_since = None;
        self.next_heartbeat = now;
        self.membership.follow(view);
        self.contact.follow(view);
        self.persist_agreement(Vec::new(), now);
        self.log(format!("view {}: {}", view.number, describe(view)));
        self.enter_view(view, now, machine);
    }

    fn persist_agreement(&mut self, after: Vec<After>, now: Millis) {
        let state = Box::new(self.agreement.state.clone());
        self.persist(vec![DurableRecord::Agreement(state)], after, now);
    }
}

fn describe(view: &View) -> String {
    let chain: Vec<String> = view
        .chain
        .iter()
        .map(|replica| replica.member.to_string())
        .collect();
    format!("chain {}, {} voters", chain.join(" > "), view.voters.len())
}
