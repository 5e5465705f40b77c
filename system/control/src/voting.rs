//! Message handling of the agreement on the next view, for voters and proposer. The Paxos rules are in `agreement`;
//! when a round starts is decided in `view_change`.
use crate::{
    agreement::ProposedView, disk_tickets::OnDurable, durable_state::DurableRecord,
    replica::Replica, StateMachine,
};
use magpiegap_protocol::{
    Ballot, Member, Millis, PeerMessage, Promise, ReplicaId, View, ViewNumber,
};
use std::collections::BTreeSet;

/// How long after the start of a round a proposer that has a majority of promises waits for the other available voters.
const PROMISE_WAIT_MS: Millis = 60;

impl Replica {
    /// Sends a message to all voters of the current view, which decide on the next one.
    pub(crate) fn send_to_voters(&mut self, message: &PeerMessage) {
        let voters: Vec<Member> = self.agreement.current().voters.clone();
        for voter in voters {
            self.send(voter.address, message.clone());
        }
    }

    /// Handles a prepare request, with which a proposer starts a round for the next view.
    pub(crate) fn handle_prepare(
        &mut self,
        from: ReplicaId,
        number: ViewNumber,
        ballot: Ballot,
        now: Millis,
    ) {
        if !self.votes_on(from, number) {
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
                self.persist_agreement(
                    vec![OnDurable::Send {
                        to: from.member.address,
                        message: promise,
                    }],
                    now,
                );
            }
            Err(promised) => self.send(
                from.member.address,
                PeerMessage::Reject { number, promised },
            ),
        }
    }

    /// Whether this replica may vote on a view. A proposer with an outdated view is sent the current one.
    fn votes_on(&mut self, from: ReplicaId, number: ViewNumber) -> bool {
        if !self.is_recovered_state_durable {
            return false;
        }
        let current = self.agreement.current();
        if number <= current.number {
            let decided = PeerMessage::Decided(current.clone());
            self.send(from.member.address, decided);
            return false;
        }
        let votes = current.voters.contains(&self.settings.own.member);
        number == current.number.next() && votes && self.own_disk.is_confirmed()
    }

    /// Handles a voter's promise for this replica's round.
    pub(crate) fn handle_promise(&mut self, from: ReplicaId, promise: Promise, now: Millis) {
        let number = self.agreement.next_number();
        let voter = self.agreement.current().voters.contains(&from.member);
        let Some(round) = self.agreement.round.as_mut() else {
            return;
        };
        if promise.number != number || promise.ballot != round.ballot || !voter {
            return;
        }
        if self.disk_notes.is_stale(&from) {
            return;
        }
        round.promises.insert(from.member, promise);
        self.propose_view(now);
    }

    /// Proposes a view once enough voters have promised.
    pub(crate) fn propose_view(&mut self, now: Millis) {
        let current = self.agreement.current().clone();
        let available = self.available(now);
        let Some(round) = self.agreement.round.as_ref() else {
            return;
        };
        if round.proposed.is_some() || !round.has_majority(&current) {
            return;
        }
        let expected = available
            .iter()
            .filter(|replica| current.voters.contains(&replica.member))
            .count();
        if round.promises.len() < expected && now < round.started_at + PROMISE_WAIT_MS {
            return;
        }
        let compose =
            || self.compose_next_view(&current, &available, &round.complete_voters(), now);
        let view = round.highest_accepted_view().or_else(compose);
        let Some(view) = view else {
            return;
        };
        let ballot = round.ballot;
        if let Some(round) = self.agreement.round.as_mut() {
            round.proposed = Some(ProposedView::new(view.clone()));
        }
        self.send_to_voters(&PeerMessage::Accept { ballot, view });
    }

    /// Handles an accept request, with which a proposer asks the voters to accept a view.
    pub(crate) fn handle_accept(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        view: &View,
        now: Millis,
    ) {
        if !self.votes_on(from, view.number) {
            return;
        }
        let number = view.number;
        match self.agreement.accept(ballot, view) {
            Ok(()) => {
                let accepted = PeerMessage::Accepted { number, ballot };
                self.persist_agreement(
                    vec![OnDurable::Send {
                        to: from.member.address,
                        message: accepted,
                    }],
                    now,
                );
            }
            Err(promised) => self.send(
                from.member.address,
                PeerMessage::Reject { number, promised },
            ),
        }
    }

    /// Handles a voter's acceptance of the view that this replica proposed.
    pub(crate) fn handle_accepted(
        &mut self,
        from: ReplicaId,
        number: ViewNumber,
        ballot: Ballot,
        now: Millis,
        machine: &mut dyn StateMachine,
    ) {
        let current = self.agreement.current();
        if number != current.number.next() || !current.voters.contains(&from.member) {
            return;
        }
        if self.disk_notes.is_stale(&from) {
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
        let Some(proposed) = round.proposed.as_mut() else {
            return;
        };
        proposed.accepted_by.insert(from.member);
        if proposed.accepted_by.len() >= majority {
            let view = proposed.view.clone();
            self.announce_view(&view, now);
            self.handle_decided(&view, now, machine);
        }
    }

    fn announce_view(&mut self, view: &View, now: Millis) {
        let mut addresses: BTreeSet<u32> = self
            .available_peers(now)
            .iter()
            .map(|peer| peer.replica.member.address)
            .collect();
        addresses.extend(view.voters.iter().map(|voter| voter.address));
        addresses.extend(view.chain.iter().map(|replica| replica.member.address));
        addresses.remove(&self.settings.own.member.address);
        for address in addresses {
            self.send(address, PeerMessage::Decided(view.clone()));
        }
    }

    /// Handles a rejection: the voter has promised a higher ballot.
    pub(crate) fn handle_reject(&mut self, number: ViewNumber, promised: Ballot, now: Millis) {
        if number != self.agreement.next_number() {
            return;
        }
        self.agreement.record_round(promised.round);
        if self
            .agreement
            .round
            .as_ref()
            .is_some_and(|round| round.ballot < promised)
        {
            self.agreement.round = None;
            self.view_timer.record_failed_round();
            self.view_timer.delay_after_rejection(now);
        }
    }

    /// Handles a decided view.
    pub(crate) fn handle_decided(
        &mut self,
        view: &View,
        now: Millis,
        machine: &mut dyn StateMachine,
    ) {
        if !self.agreement.decide(view) {
            return;
        }
        self.view_timer.start_view(now);
        self.next_heartbeat_at = now;
        self.membership.start_view(view);
        self.quorum_contact.retain_members(view);
        self.disk_notes.retain_members(view);
        self.persist_agreement(Vec::new(), now);
        self.log(format!(
            "view decided view={} {}",
            view.number,
            describe(view)
        ));
        self.enter_view(view, now, machine);
    }

    /// Writes the state of the agreement to disk; `effects` take place once it is durable.
    pub(crate) fn persist_agreement(&mut self, effects: Vec<OnDurable>, now: Millis) {
        let state = self.durable_agreement();
        let mut on_durable = effects;
        on_durable.push(OnDurable::votes_of(&state));
        let record = DurableRecord::Agreement(Box::new(state));
        self.persist(vec![record], on_durable, now);
    }
}

/// Formats the chain and the number of voters for the operator's log.
fn describe(view: &View) -> String {
    let chain: Vec<String> = view
        .chain
        .iter()
        .map(|replica| replica.member.to_string())
        .collect();
    format!("chain={} voters={}", chain.join(" > "), view.voters.len())
}
