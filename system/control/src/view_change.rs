//! View changes: when the next view is proposed, why, and by which replica. Message handling is in `voting`; the
//! members of the next view are chosen in `view_composition`.
use crate::{peer::Peer, replica::Replica, view_reason::ViewReason};
use magpiegap_protocol::{Millis, PeerMessage, ReplicaId};
use std::collections::BTreeSet;

/// A chain member that has not become active this long after the start of the view triggers a view change.
const IDLE_MEMBER_TIMEOUT_MS: Millis = 500;

impl Replica {
    /// Proposes the next view when one is needed and this replica may start a round now.
    pub(crate) fn propose_view_if_needed(&mut self, now: Millis) {
        if self.own_disk.is_stale() {
            return;
        }
        if self
            .agreement
            .round
            .as_ref()
            .is_some_and(|round| now < round.started_at + self.view_timer.round_timeout())
        {
            self.propose_view(now);
            return;
        }
        if self.agreement.round.take().is_some() {
            self.view_timer.record_failed_round();
        }
        let available = self.available(now);
        let Some(reason) = self.reason_for_view(&available, now) else {
            self.view_timer.record_not_needed();
            return;
        };
        let needed_since = self.view_timer.record_needed(now);
        let Some(rank) = self.proposer_rank(&available) else {
            return;
        };
        if self.view_timer.may_start_round(rank, needed_since, now) {
            self.start_round(&reason, now);
        }
    }

    /// The reason for a view change; `None` when none is needed or too few voters are available for it.
    fn reason_for_view(&self, available: &[ReplicaId], now: Millis) -> Option<ViewReason> {
        let current = self.agreement.current();
        let voters = available
            .iter()
            .filter(|replica| current.voters.contains(&replica.member))
            .count();
        if voters < current.majority() {
            return None;
        }
        let next_chain: BTreeSet<ReplicaId> = self.next_chain(available, now).into_iter().collect();
        let chain: BTreeSet<ReplicaId> = current.chain.iter().copied().collect();
        if let Some(newcomer) = next_chain.difference(&chain).next() {
            return Some(ViewReason::Newcomer(*newcomer));
        }
        if let Some(unavailable) = chain.difference(&next_chain).next() {
            return Some(ViewReason::Unavailable(*unavailable));
        }
        if self.agreement.is_sealed() {
            return Some(ViewReason::IncompleteRound);
        }
        self.idle_chain_member(now).map(ViewReason::Idle)
    }

    /// A chain member that is in the current view but does not serve, once the view is old enough.
    fn idle_chain_member(&self, now: Millis) -> Option<ReplicaId> {
        if self.view_timer.view_age(now) < IDLE_MEMBER_TIMEOUT_MS {
            return None;
        }
        let current = self.agreement.current();
        let idle = |peer: &Peer| peer.status.view == current.number && !peer.status.serving;
        let own = self.settings.own;
        let is_idle = |replica: &&ReplicaId| match **replica == own {
            true => !self.is_serving(),
            false => self.membership.peer(&replica.member).is_some_and(idle),
        };
        current.chain.iter().find(is_idle).copied()
    }

    /// The number of candidates that propose before this replica. `None` when this replica has no vote, or is outside
    /// the chain while voters in the chain are available: those know better which replicas can be members.
    fn proposer_rank(&self, available: &[ReplicaId]) -> Option<u64> {
        let current = self.agreement.current();
        let mut candidates: Vec<ReplicaId> = available
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

    fn start_round(&mut self, reason: &ViewReason, now: Millis) {
        self.view_timer.delay_after_start(now);
        let own_tag = self.settings.own.incarnation as u32;
        let Some(ballot) = self.agreement.start_round(own_tag, now) else {
            return;
        };
        let number = self.agreement.next_number();
        self.log(format!("proposing view view={number} reason={reason}"));
        let message = PeerMessage::Prepare { number, ballot };
        self.send_to_voters(&message);
    }
}
