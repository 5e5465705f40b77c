//! What is known of all upstreams together.
use super::{Answers, Near, Rested, Subset, Upstream, Zones};
use crate::interface::{Availability, Endpoint, Millis, UpstreamId};
use std::collections::{BTreeMap, BTreeSet};

/// The place of each upstream.
pub(crate) type ById = BTreeMap<UpstreamId, usize>;

/// The upstreams, and what is known of them together.
#[derive(Default)]
pub(crate) struct Fleet {
    /// By place; places of upstreams that are gone are used again.
    pub slots: Vec<Upstream>,
    pub by_id: ById,
    pub free: Vec<usize>,
    /// The most ready upstreams that there were, each as far as it was warm.
    pub most: f64,
    /// The part of attempts that failed.
    pub fails: f64,
    /// Mean of what upstreams say they hold.
    pub held: f64,
    pub subset: Subset,
    pub answers: Answers,
    pub rested: Rested,
    pub zones: Zones,
    pub near: Near,
}

impl Fleet {
    /// Marks as gone what a whole list does not name.
    pub(crate) fn drop_unnamed(&mut self, members: &[Endpoint]) {
        let named: BTreeSet<UpstreamId> = members.iter().map(|m| m.id).collect();
        for u in self
            .slots
            .iter_mut()
            .filter(|u| !named.contains(&u.member.id))
        {
            u.member.availability = Availability::Removed;
        }
    }

    /// The place of an upstream, a new one if it has none.
    pub(crate) fn place(&mut self, id: UpstreamId) -> usize {
        let known = self.by_id.get(&id).copied();
        let i = known
            .or_else(|| self.free.pop())
            .unwrap_or(self.slots.len());
        self.slots
            .resize_with(self.slots.len().max(i + 1), Upstream::default);
        self.by_id.insert(id, i);
        i
    }

    /// Takes note of how many requests a second an upstream says it serves.
    pub(crate) fn serves(&mut self, id: UpstreamId, per_s: f64, now: Millis) {
        if let Some(&i) = self.by_id.get(&id).filter(|_| per_s.is_finite()) {
            (self.slots[i].served, self.slots[i].served_at) = (per_s, now);
        }
    }

    /// Frees the place of an upstream that is gone once nothing is out to it.
    pub(crate) fn forget_if_gone(&mut self, i: usize) {
        let u = &self.slots[i];
        let gone = u.member.availability == Availability::Removed && u.inflight == 0;
        if gone && self.by_id.get(&u.member.id) == Some(&i) {
            self.by_id.remove(&u.member.id);
            self.free.push(i);
        }
    }
}
