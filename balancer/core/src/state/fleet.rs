//! State of all upstreams.
use super::{IdleConnections, Locality, ResponseTimes, Subset, Upstream, Zones};
use crate::interface::{Availability, Endpoint, Millis, UpstreamId};
use std::collections::{BTreeMap, BTreeSet};

/// Slot index by upstream.
pub(crate) type SlotById = BTreeMap<UpstreamId, usize>;

/// The upstreams and their aggregated state.
#[derive(Default)]
pub(crate) struct Fleet {
    /// Slots of removed upstreams are reused.
    pub slots: Vec<Upstream>,
    pub by_id: SlotById,
    pub free_slots: Vec<usize>,
    /// Highest number of ready upstreams so far, weighted by slow start.
    pub max_ready: f64,
    /// Smoothed fraction of attempts that failed.
    pub failure_rate: f64,
    /// Smoothed mean of the loads that upstreams report.
    pub mean_reported_load: f64,
    pub subset: Subset,
    pub response_times: ResponseTimes,
    pub idle_connections: IdleConnections,
    pub zones: Zones,
    pub locality: Locality,
}

impl Fleet {
    /// Marks upstreams that are missing from a full list as removed.
    pub(crate) fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        let listed: BTreeSet<UpstreamId> = endpoints.iter().map(|endpoint| endpoint.id).collect();
        for upstream in &mut self.slots {
            if !listed.contains(&upstream.endpoint.id) {
                upstream.endpoint.availability = Availability::Removed;
            }
        }
    }

    /// The slot of an upstream; allocates one if needed.
    pub(crate) fn slot_for(&mut self, id: UpstreamId) -> usize {
        let known = self.by_id.get(&id).copied();
        let slot = known
            .or_else(|| self.free_slots.pop())
            .unwrap_or(self.slots.len());
        self.slots
            .resize_with(self.slots.len().max(slot + 1), Upstream::default);
        self.by_id.insert(id, slot);
        slot
    }

    /// Records the request rate that an upstream reports.
    pub(crate) fn record_served_rate(&mut self, id: UpstreamId, per_s: f64, now: Millis) {
        if let Some(&slot) = self.by_id.get(&id).filter(|_| per_s.is_finite()) {
            let upstream = &mut self.slots[slot];
            upstream.served_rate = per_s;
            upstream.served_rate_at = now;
        }
    }

    /// Frees the slot of a removed upstream without calls in flight.
    pub(crate) fn free_if_removed(&mut self, slot: usize) {
        let upstream = &self.slots[slot];
        let id = upstream.endpoint.id;
        let removed = upstream.endpoint.availability == Availability::Removed;
        if removed && upstream.in_flight == 0 && self.by_id.get(&id) == Some(&slot) {
            self.by_id.remove(&id);
            self.free_slots.push(slot);
        }
    }
}
