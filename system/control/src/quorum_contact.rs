//! Quorum contact: evidence from a majority of the voters that the view known to this replica is still the newest one.
//!
//! Each heartbeat carries its send time, and receivers echo that time. A voter that echoes time `t`, reports view `v`
//! and is not sealed had not promised a ballot for the view after `v` at time `t`, on the clock of the replica that
//! sent the heartbeat. Once a majority has echoed `t`, no later view can have been decided before `t`: that takes
//! promises from a majority, and any two majorities share a voter. This holds for any message delay and for any pause
//! of either process, since only one clock is read.
use magpiegap_protocol::{Member, Millis, View, ViewNumber};
use std::collections::BTreeMap;

/// A voter's confirmation that it had not promised a ballot for the view after `view` at time `at`, on this replica's
/// steady clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Confirmation {
    view: ViewNumber,
    at: Millis,
}

/// The newest confirmation of each member.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuorumContact {
    confirmed: BTreeMap<Member, Confirmation>,
}

impl QuorumContact {
    /// Records the echo, by an unsealed voter in this view, of a heartbeat that was sent at time `at`.
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

    /// The latest time, on this replica's steady clock, before which no later view can have been decided; zero when
    /// unknown. This replica itself counts as a voter that confirms `now`.
    pub(crate) fn confirmed_at(&self, view: &View, own: Member, now: Millis) -> Millis {
        let confirmed = |voter: &Member| {
            if *voter == own {
                now
            } else {
                self.confirmed_by(view, *voter)
            }
        };
        let mut times: Vec<Millis> = view.voters.iter().map(confirmed).collect();
        times.sort_unstable_by(|left, right| right.cmp(left));
        times.get(view.majority() - 1).copied().unwrap_or(0)
    }

    /// The send time, on this replica's steady clock, of the newest heartbeat that a member has confirmed in this
    /// view; zero when there is none.
    pub(crate) fn confirmed_by(&self, view: &View, member: Member) -> Millis {
        let confirmed = self
            .confirmed
            .get(&member)
            .filter(|confirmation| confirmation.view == view.number);
        confirmed.map_or(0, |confirmation| confirmation.at)
    }

    /// Drops the confirmations of replicas that are not members of this view.
    pub(crate) fn retain_members(&mut self, view: &View) {
        self.confirmed.retain(|member, _| view.has_member(member));
    }
}
