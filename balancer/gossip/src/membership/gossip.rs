//! Dissemination of membership updates. Owns the number of remaining sends of each update; the updates themselves are
//! created from the table when they are sent.
//!
//! Urgent updates are gossiped to a few members at once, which forward them in the same way. All updates are also
//! piggybacked on other datagrams, as often as a multiple of the logarithm of the number of members, which reaches the
//! members that the gossip rounds missed.
use std::collections::BTreeMap;

use crate::types::Member;

/// Gossip rounds of an urgent update: the second reaches most members that the first one missed.
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
    /// Queues the update on a member, which is urgent for this number of gossip rounds.
    pub(crate) fn add(&mut self, member: Member, up: usize, rounds: u8) {
        let sends_left = 2 * (up as f64 + 1.0).log2().ceil() as u32 + 2;
        self.updates.insert(member, Update { sends_left, rounds });
    }

    /// Queues an update to be sent once, because another replica's digest differs.
    pub(crate) fn add_once(&mut self, member: Member) {
        self.updates.entry(member).or_insert(Update {
            sends_left: 1,
            rounds: 0,
        });
    }

    /// The members with updates to send, those with the most rounds and sends left first; in a gossip
    /// round only the urgent ones.
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

    /// Records that the updates on these members were sent in one datagram.
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

    /// Records that the updates on these members were sent in a gossip round.
    pub(crate) fn on_round_sent(&mut self, members: &[Member]) {
        for member in members {
            if let Some(update) = self.updates.get_mut(member) {
                update.rounds = update.rounds.saturating_sub(1);
            }
        }
        self.updates
            .retain(|_, update| update.sends_left > 0 || update.rounds > 0);
    }

    pub(crate) fn len(&self) -> usize {
        self.updates.len()
    }

    pub(crate) fn is_urgent(&self, member: Member) -> bool {
        self.updates
            .get(&member)
            .is_some_and(|update| update.rounds > 0)
    }

    pub(crate) fn has_urgent(&self) -> bool {
        self.updates.values().any(|update| update.rounds > 0)
    }
}
