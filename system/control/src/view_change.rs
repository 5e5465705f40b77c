//! The change of the view: when the next one is proposed, why, and by whom. The messages of the agreement on it are in
//! `voting`, the members of the next view in `view_composition`.
use crate::{peer::Peer, replica::Replica, view_reason::ViewReason};
use magpiegap_protocol::{Millis, PeerMessage, ReplicaId};
use std::collections::BTreeSet;

/// A member of the chain that is not active is replaced, or taken in anew, after this time.
const IDLE_MEMBER_MS: Millis = 500;

impl Replica {
    /// Proposes the next view when one is needed and it is this replica's turn.
    pub(crate) fn check_view(&mut self, now: Millis) {
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

    /// Why another view is needed; `None`: it is not.
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
        if let Some(departed) = chain.difference(&next_chain).next() {
            return Some(ViewReason::Departed(*departed));
        }
        if self.agreement.is_sealed() {
            return Some(ViewReason::Unfinished);
        }
        self.idle_chain_member(now).map(ViewReason::Idle)
    }

    /// A member of the chain that is reachable and has not been active for a while.
    fn idle_chain_member(&self, now: Millis) -> Option<ReplicaId> {
        if self.view_timer.view_age(now) < IDLE_MEMBER_MS {
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

    /// How many replicas propose before this one; `None` when it has no vote, or is outside of a chain of which others
    /// are available: they know better who can be a member.
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
        self.log(format!("proposes view {number}: {reason}"));
        let message = PeerMessage::Prepare { number, ballot };
        self.send_to_voters(&message);
    }
}
