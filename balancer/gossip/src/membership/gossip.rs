//! Dissemination of membership updates. Owns how often each update is still to be sent; the updates
//! themselves are made from the table when they are sent.
//!
//! Urgent updates are gossiped to a few members at once, which pass them on the same way; all updates are also
//! piggybacked on other datagrams, a multiple of the logarithm of the number of members, which reaches those that
//! the first round missed.
use std::collections::BTreeMap;

use crate::types::Member;

/// Gossip rounds of an urgent update: the second reaches most of those that the first one missed.
pub(crate) const GOSSIP_ROUNDS: u8 = 2;

#[derive(Clone, Copy, Debug)]
struct Update {
    sends_left: u32,
    rounds: u8,
}

/// A queue of updates to be sent.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    updates: BTreeMap<Member, Update>,
}

impl GossipQueue {
    /// Queues the update on a member, which is urgent for so many rounds.
    pub(crate) fn add(&mut self, member: Member, up: usize, rounds: u8) {
        let sends_left = 2 * (up as f64 + 1.0).log2().ceil() as u32 + 2;
        self.updates.insert(member, Update { sends_left, rounds });
    }

    /// Queues an update to be sent once, where two replicas were found to differ.
    pub(crate) fn add_once(&mut self, member: Member) {
        self.updates.entry(member).or_insert(Update {
            sends_left: 1,
            rounds: 0,
        });
    }

    /// The updates to send, the least sent first; for gossip only the urgent ones.
    pub(crate) fn pending(&self, gossip_round: bool) -> Vec<Member> {
        let mut all: Vec<(Member, Update)> = self
            .updates
            .iter()
            .map(|(member, update)| (*member, *update))
            .collect();
        all.retain(|(_, update)| !gossip_round || update.rounds > 0);
        all.sort_by_key(|(member, update)| {
            (
                std::cmp::Reverse((update.rounds, update.sends_left)),
                *member,
            )
        });
        all.into_iter().map(|(member, _)| member).collect()
    }

    /// Records that these were sent in one datagram.
    pub(crate) fn on_sent(&mut self, members: impl Iterator<Item = Member>) {
        for member in members {
            if let Some(update) = self.updates.get_mut(&member) {
                update.sends_left = update.sends_left.saturating_sub(1);
                if update.sends_left == 0 && update.rounds == 0 {
                    self.updates.remove(&member);
                }
            }
        }
    }

    /// Records that a gossip round with these was sent.
    pub(crate) fn on_round_sent(&mut self, members: &[Member]) {
        for member in members {
            if let Some(update) = self.updates.get_mut(member) {
                update.rounds = update.rounds.saturating_sub(1);
            }
        }
        self.updates
            .retain(|_, update| update.sends_left > 0 || update.rounds > 0);
    }

    /// Updates queued.
    pub(crate) fn len(&self) -> usize {
        self.updates.len()
    }

    /// Whether the update on a member is urgent.
    pub(crate) fn is_urgent(&self, member: Member) -> bool {
        self.updates
            .get(&member)
            .is_some_and(|update| update.rounds > 0)
    }

    /// Whether any update is urgent.
    pub(crate) fn has_urgent(&self) -> bool {
        self.updates.values().any(|update| update.rounds > 0)
    }
}
