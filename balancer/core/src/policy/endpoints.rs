//! Applies updates of the endpoint list and counts upstreams.
use crate::{interface::*, state::*};

/// Upstreams as fractions of the highest number of ready ones so far.
pub(super) struct UpstreamCounts {
    /// Listed as ready.
    pub listed: f64,
    /// Usable, weighted by slow start.
    pub usable: f64,
}

impl Fleet {
    pub(crate) fn new(settings: &Settings) -> Self {
        Fleet {
            subset: Subset::new(settings),
            response_times: ResponseTimes::new(settings),
            locality: Locality::new(settings),
            ..Fleet::default()
        }
    }

    /// Applies an update of the endpoint list.
    pub(crate) fn apply(
        &mut self,
        update: EndpointUpdate,
        settings: &Settings,
        now: Millis,
        rng: &mut Rng,
    ) {
        let Some((endpoints, kind)) = update.into_endpoints() else {
            return;
        };
        if kind == ListKind::Full {
            self.remove_unlisted(&endpoints);
        }
        for endpoint in endpoints {
            self.apply_endpoint(endpoint, now, rng);
        }
        for slot in 0..self.slots.len() {
            self.free_if_removed(slot);
        }
        self.choose_subset(settings);
    }

    fn apply_endpoint(&mut self, endpoint: Endpoint, now: Millis, rng: &mut Rng) {
        let known = self.by_id.get(&endpoint.id).copied();
        let same_start = |&slot: &usize| self.slots[slot].endpoint.since == endpoint.since;
        if let Some(slot) = known.filter(same_start) {
            self.slots[slot].endpoint = endpoint;
        } else if known.is_some() || endpoint.availability != Availability::Removed {
            let slot = self.slot_for(endpoint.id);
            // After a restart under the same id, the upstream is in slow start and its failure history is reset.
            self.slots[slot] = Upstream {
                endpoint,
                in_flight: known.map_or(0, |slot| self.slots[slot].in_flight),
                health: Health {
                    slowness: 1.0,
                    ..Health::default()
                },
                // Start with a random phase, so that hundreds of instances do not all send their first call at the same
                // time.
                slow_start_tokens: random_unit(rng),
                slow_start_tokens_at: now,
                idle_since: now,
                unanswered_since: now,
                ..Upstream::default()
            };
        }
    }

    /// Adapts the size of the subset to the traffic.
    pub(crate) fn resize_subset(&mut self, settings: &Settings, calls_per_cycle: f64) {
        let mean = self.response_times.mean;
        if let Some(size) = self.subset.new_size(mean, settings, calls_per_cycle) {
            self.subset.max_members = size;
            self.choose_subset(settings);
        }
    }

    fn choose_subset(&mut self, settings: &Settings) {
        self.subset
            .choose(&self.slots, &self.by_id, self.locality.local_zone, settings);
    }

    /// Counts the ready and the usable upstreams.
    pub(super) fn count_upstreams(&mut self, settings: &Settings, now: Millis) -> UpstreamCounts {
        let mut ready_weight = 0.0;
        let mut usable_weight = 0.0;
        for &slot in self.by_id.values() {
            let upstream = &self.slots[slot];
            if upstream.endpoint.availability != Availability::Ready {
                continue;
            }
            let weight = upstream.slow_start_weight(settings, now);
            ready_weight += weight;
            // Ejections for error responses do not count: a downstream tier may cause them, and they do not show that
            // the upstream has no capacity.
            let lost = now < upstream.health.lost_until
                || self.is_unresponsive(slot, now)
                || self.is_overloaded(slot, now);
            if !lost {
                usable_weight += weight * (1.0 - self.zones.diverted(upstream.endpoint.zone));
            }
        }
        self.max_ready = self.max_ready.max(ready_weight);
        let max_ready = self.max_ready.max(0.1);
        UpstreamCounts {
            listed: (self.subset.ready as f64 / max_ready).min(1.0),
            usable: usable_weight / max_ready,
        }
    }
}
