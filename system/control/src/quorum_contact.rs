//! Quorum contact, contact with a majority of the voters: whether the view that a replica knows is still the newest one.
//!
//! Each heartbeat carries the time of its sending, and whoever hears it sends that time back. A voter that echoes the time
//! `t`, knows view `v` and takes no part in the agreement on the next view had not gone on from `v` at `t`, on the clock of
//! the replica that sent the heartbeat. Once a majority has said so, no later view can have been agreed before `t`: that
//! takes a majority which takes part, and two majorities share a voter. It holds however late messages come and however
//! long either side stands still, since only one clock is read.
use magpiegap_protocol::{Member, Millis, View, ViewNumber};
use std::collections::BTreeMap;

/// A view that a voter had not gone on from at a time of our steady clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Confirmation {
    view: ViewNumber,
    at: Millis,
}

/// What the voters have confirmed.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuorumContact {
    confirmed: BTreeMap<Member, Confirmation>,
}

impl QuorumContact {
    /// A voter had not gone on from a view when it got the heartbeat that was sent at this time.
    pub(crate) fn confirm(&mut self, voter: Member, view: ViewNumber, at: Millis) {
        let known = self
            .confirmed
            .entry(voter)
            .or_insert(Confirmation { view, at });
        if view > known.view {
            *known = Confirmation { view, at };
        } else if view == known.view {
            known.at = known.at.max(at);
        }
    }

    /// Until when, on our steady clock, no later view than this one can have been agreed. This replica's own vote counts
    /// as given now. Zero: that isn't known.
    pub(crate) fn confirmed_at(&self, view: &View, own: Member, now: Millis) -> Millis {
        let confirmed = |voter: &Member| {
            if *voter == own {
                now
            } else {
                self.confirmed_by(view, *voter)
            }
        };
        let mut times: Vec<Millis> = view.voters.iter().map(confirmed).collect();
        times.sort_unstable_by(|one, other| other.cmp(one));
        times.get(view.majority() - 1).copied().unwrap_or(0)
    }

    /// Up to when, on our steady clock, a member of the view has surely heard from us; zero: that isn't known.
    pub(crate) fn confirmed_by(&self, view: &View, member: Member) -> Millis {
        let confirmed = self
            .confirmed
            .get(&member)
            .filter(|confirmation| confirmation.view == view.number);
        confirmed.map_or(0, |confirmation| confirmation.at)
    }

    /// Drops what members that are no longer of the view have confirmed.
    pub(crate) fn retain_members(&mut self, view: &View) {
        self.confirmed.retain(|member, _| view.has_member(member));
    }
}
