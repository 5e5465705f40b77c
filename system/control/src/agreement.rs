//! Agreement on the next view: one instance of single-decree Paxos (Lamport, 2001) for each view, among the voters of the
//! one before. It owns the state of acceptor and proposer; the messages are in `voting`.
use crate::durable_state::AgreementState;
use magpiegap_protocol::{
    AcceptedView, Ballot, LogPosition, Member, Millis, Promise, View, ViewNumber,
};
use std::collections::{BTreeMap, BTreeSet};

/// A round of this replica as proposer.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    pub ballot: Ballot,
    pub started_at: Millis,
    /// The promises of the voters to this ballot.
    pub promises: BTreeMap<Member, Promise>,
    /// The view proposed; `None`: too few voters have promised so far.
    pub proposed: Option<ProposedView>,
}

/// A view on its way to being accepted.
#[derive(Clone, Debug)]
pub(crate) struct ProposedView {
    pub view: View,
    /// The voters that have accepted it.
    pub accepted_by: BTreeSet<Member>,
}

impl ProposedView {
    /// A view that nobody has accepted so far.
    pub(crate) fn new(view: View) -> ProposedView {
        ProposedView {
            view,
            accepted_by: BTreeSet::new(),
        }
    }
}

/// The state of the agreement at one replica.
#[derive(Clone, Debug)]
pub(crate) struct Agreement {
    state: AgreementState,
    /// This replica's own round, while it proposes.
    pub round: Option<Round>,
    /// The highest round seen in any ballot.
    highest_round_seen: u64,
}

impl Agreement {
    pub(crate) fn new(mut state: AgreementState) -> Agreement {
        // Those are owned by `own_disk` and `disk_notes`.
        state.disks = None;
        let highest_round_seen = state.promised.map_or(0, |ballot| ballot.round);
        Agreement {
            state,
            round: None,
            highest_round_seen,
        }
    }

    /// The newest view known to be agreed.
    pub(crate) fn current(&self) -> &View {
        &self.state.current
    }

    /// What must outlast the process.
    pub(crate) fn state(&self) -> &AgreementState {
        &self.state
    }

    /// The number of the view that is to be agreed next.
    pub(crate) fn next_number(&self) -> ViewNumber {
        self.state.current.number.next()
    }

    /// Whether the replica takes part in the agreement on the next view, and so takes no writes in this one.
    pub(crate) fn is_sealed(&self) -> bool {
        self.state.promised.is_some()
    }

    /// Starts a round as proposer. The tag is of this incarnation of the process, so that no two rounds share a ballot.
    /// `None`: no number is left above the rounds that were seen, and no round starts.
    pub(crate) fn start_round(&mut self, own_tag: u32, now: Millis) -> Option<Ballot> {
        self.highest_round_seen = self.highest_round_seen.checked_add(1)?;
        let ballot = Ballot {
            round: self.highest_round_seen,
            proposer: own_tag,
        };
        self.round = Some(Round {
            ballot,
            started_at: now,
            promises: BTreeMap::new(),
            proposed: None,
        });
        Some(ballot)
    }

    /// Promises a ballot, when it is the highest so far; returns the view accepted before.
    ///
    /// # Errors
    /// The ballot promised before, when that is higher.
    pub(crate) fn promise(&mut self, ballot: Ballot) -> Result<Option<AcceptedView>, Ballot> {
        self.take_ballot(ballot)?;
        Ok(self.state.accepted.clone())
    }

    /// Accepts a view, when no higher ballot was promised.
    ///
    /// # Errors
    /// The ballot promised before, when that is higher.
    pub(crate) fn accept(&mut self, ballot: Ballot, view: &View) -> Result<(), Ballot> {
        self.take_ballot(ballot)?;
        self.state.accepted = Some(AcceptedView {
            ballot,
            view: view.clone(),
        });
        Ok(())
    }

    /// Promises to take no lower ballot than this one.
    ///
    /// # Errors
    /// The ballot promised before, when that is higher.
    fn take_ballot(&mut self, ballot: Ballot) -> Result<(), Ballot> {
        self.record_round(ballot.round);
        if let Some(promised) = self.state.promised.filter(|promised| *promised > ballot) {
            return Err(promised);
        }
        self.state.promised = Some(ballot);
        Ok(())
    }

    /// Records a round that was seen in a ballot: this replica's next one is higher.
    pub(crate) fn record_round(&mut self, round: u64) {
        self.highest_round_seen = self.highest_round_seen.max(round);
    }

    /// Takes up a view that was agreed. Returns whether it is newer than the one known.
    pub(crate) fn decide(&mut self, view: &View) -> bool {
        if view.number <= self.state.current.number {
            return false;
        }
        self.state.current = view.clone();
        self.state.promised = None;
        self.state.accepted = None;
        self.round = None;
        true
    }
}

impl Round {
    /// Whether a majority of the voters takes part.
    pub(crate) fn has_majority(&self, current: &View) -> bool {
        self.promises.len() >= current.majority()
    }

    /// The view accepted in the highest ballot among the promises: it may have been decided already, so only it may be
    /// proposed.
    pub(crate) fn highest_accepted_view(&self) -> Option<View> {
        let accepted = self
            .promises
            .values()
            .filter_map(|promise| promise.accepted.as_ref());
        accepted
            .max_by_key(|accepted| accepted.ballot)
            .map(|accepted| accepted.view.clone())
    }

    /// The voters that have all that was committed, with the last entry of each.
    pub(crate) fn complete_voters(&self) -> BTreeMap<Member, LogPosition> {
        let complete = |(member, promise): (&Member, &Promise)| Some((*member, promise.complete?));
        self.promises.iter().filter_map(complete).collect()
    }
}
