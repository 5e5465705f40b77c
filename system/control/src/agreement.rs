//! Agreement on the next view: one instance of single-decree Paxos (Lamport, 2001) per view, among the voters of the
//! previous view. This module owns the state of acceptor and proposer; message handling is in `voting`.
use crate::durable_state::AgreementState;
use magpiegap_protocol::{
    AcceptedView, Ballot, LogPosition, Member, Millis, Promise, View, ViewNumber,
};
use std::collections::{BTreeMap, BTreeSet};

/// A round in which this replica is the proposer.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    pub ballot: Ballot,
    pub started_at: Millis,
    /// The promises of the voters to this ballot.
    pub promises: BTreeMap<Member, Promise>,
    /// The proposed view; `None` until a majority has promised and a view could be composed.
    pub proposed: Option<ProposedView>,
}

/// A proposed view and the voters that have accepted it.
#[derive(Clone, Debug)]
pub(crate) struct ProposedView {
    pub view: View,
    pub accepted_by: BTreeSet<Member>,
}

impl ProposedView {
    /// A proposed view that no voter has accepted yet.
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
        // The disk records are owned by `own_disk` and `disk_notes`.
        state.disks = None;
        let highest_round_seen = state.promised.map_or(0, |ballot| ballot.round);
        Agreement {
            state,
            round: None,
            highest_round_seen,
        }
    }

    /// The newest view known to be decided.
    pub(crate) fn current(&self) -> &View {
        &self.state.current
    }

    /// The state that must survive a restart of the process.
    pub(crate) fn state(&self) -> &AgreementState {
        &self.state
    }

    /// The number of the view to be decided next.
    pub(crate) fn next_number(&self) -> ViewNumber {
        self.state.current.number.next()
    }

    /// Whether this replica has promised a ballot for the next view, and so accepts no more writes in the current one.
    pub(crate) fn is_sealed(&self) -> bool {
        self.state.promised.is_some()
    }

    /// Starts a round as proposer. `own_tag` identifies this incarnation of the process, so that no two rounds share a
    /// ballot. Returns `None`, and starts no round, when the round numbers are exhausted.
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

    /// Promises a ballot unless a higher one was promised; returns the view accepted earlier, if any.
    ///
    /// # Errors
    /// Returns the ballot promised earlier when it is higher.
    pub(crate) fn promise(&mut self, ballot: Ballot) -> Result<Option<AcceptedView>, Ballot> {
        self.record_promise(ballot)?;
        Ok(self.state.accepted.clone())
    }

    /// Accepts a view unless a higher ballot was promised.
    ///
    /// # Errors
    /// Returns the ballot promised earlier when it is higher.
    pub(crate) fn accept(&mut self, ballot: Ballot, view: &View) -> Result<(), Ballot> {
        self.record_promise(ballot)?;
        self.state.accepted = Some(AcceptedView {
            ballot,
            view: view.clone(),
        });
        Ok(())
    }

    /// Records the promise to reject all ballots lower than this one.
    ///
    /// # Errors
    /// Returns the ballot promised earlier when it is higher.
    fn record_promise(&mut self, ballot: Ballot) -> Result<(), Ballot> {
        self.record_round(ballot.round);
        if let Some(promised) = self.state.promised.filter(|promised| *promised > ballot) {
            return Err(promised);
        }
        self.state.promised = Some(ballot);
        Ok(())
    }

    /// Records a round number seen in a ballot, so that this replica's next round is higher.
    pub(crate) fn record_round(&mut self, round: u64) {
        self.highest_round_seen = self.highest_round_seen.max(round);
    }

    /// Makes a decided view the current one. Returns `false` when it is not newer than the current view.
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
    /// Whether a majority of the voters has promised.
    pub(crate) fn has_majority(&self, current: &View) -> bool {
        self.promises.len() >= current.majority()
    }

    /// The view accepted in the highest ballot among the promises. It may already have been decided, so no other view
    /// may be proposed.
    pub(crate) fn highest_accepted_view(&self) -> Option<View> {
        let accepted = self
            .promises
            .values()
            .filter_map(|promise| promise.accepted.as_ref());
        accepted
            .max_by_key(|accepted| accepted.ballot)
            .map(|accepted| accepted.view.clone())
    }

    /// The voters that hold all committed entries, with the last log position of each.
    pub(crate) fn complete_voters(&self) -> BTreeMap<Member, LogPosition> {
        let complete = |(member, promise): (&Member, &Promise)| Some((*member, promise.complete?));
        self.promises.iter().filter_map(complete).collect()
    }
}
