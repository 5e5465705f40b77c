//! Saves and restores learned state.
use super::{capacity::MIN_FLOOR, ejection::MAX_EJECTION};
use crate::{interface::*, state::*};

/// Time constant with which the weight of saved load values decays; load changes within about a minute.
const LOAD_DECAY_TIME: Millis = 30_000.0;
/// Time constant for saved response times, which change more slowly.
const RESPONSE_TIME_DECAY_TIME: Millis = 600_000.0;

/// Weights of saved state by its age, from 0 to 1.
struct Weights {
    load: f64,
    response_times: f64,
}

/// Interpolates a value towards a saved one.
fn blend(value: &mut f64, saved: f64, weight: f64) {
    *value += weight * (saved - *value);
}

impl Balancer {
    /// Learned state, to be saved for a later instance. Tenant limits are not included, as they are computed from it.
    pub fn learned(&mut self, now: Millis) -> Learned {
        let counts = self.fleet.count_upstreams(&self.settings, now);
        learned(self, counts.usable, now)
    }

    /// Restores saved state once the endpoint list contains a ready upstream.
    pub(super) fn restore_saved(&mut self, now: Millis) {
        let has_list = self.fleet.subset.ready > 0;
        if let Some(saved) = self.saved_state.take_if(|_| has_list) {
            self.restore(now, &saved.learned, now - saved.saved_at);
        }
    }

    /// Restores state of the given age: interpolated towards the initial state, and scaled to the usable upstreams, as
    /// instances that restart together would otherwise overload upstreams in slow start.
    fn restore(&mut self, now: Millis, saved: &Learned, age: Millis) {
        let weights = Weights {
            load: (-age / LOAD_DECAY_TIME).exp(),
            response_times: (-age / RESPONSE_TIME_DECAY_TIME).exp(),
        };
        self.restore_upstreams(now, saved, age, &weights);
        self.restore_response_times(saved, &weights);
        let fleet = &mut self.fleet;
        // The current list may be a small remainder of the upstreams that the saved capacity refers to.
        fleet.max_ready = fleet.max_ready.max(weights.load * saved.upstreams_max);
        let counts = fleet.count_upstreams(&self.settings, now);
        let capacity = &mut self.capacity;
        capacity.listed = counts.listed;
        capacity.usable = counts.usable;
        let scale = (counts.usable / saved.upstreams_usable.max(0.01)).min(1.0);
        // The served rate is assumed to equal the quotas until upstreams report it.
        capacity.load.served_rate = if saved.load.served_rate > 0.0 {
            capacity.total_quota
        } else {
            0.0
        };
        let saved_load = saved.load.scale(scale);
        capacity.load =
            capacity
                .load
                .interpolate(&saved_load, weights.load, weights.response_times);
        capacity.load.floor_fraction = capacity.load.floor_fraction.max(MIN_FLOOR);
        for (tenant, &demand) in self.admission.tenants.iter_mut().zip(&saved.demands) {
            if let Some(demand) = demand {
                tenant.seen = true;
                blend(&mut tenant.demand, demand, weights.load);
            }
        }
        fleet.resize_subset(&self.settings, capacity.load.admitted_mean);
        self.admission.end_cycle(now, capacity);
    }

    fn restore_upstreams(&mut self, now: Millis, saved: &Learned, age: Millis, weights: &Weights) {
        let fleet = &mut self.fleet;
        let clock_shift = now - age - saved.saved_at;
        for &(id, since, health) in &saved.upstreams {
            let Some(&slot) = fleet.by_id.get(&id) else {
                continue;
            };
            let upstream = &mut fleet.slots[slot];
            if upstream.endpoint.since != since {
                continue;
            }
            let shifted = health.shift_clock(clock_shift);
            upstream.health = Health {
                failure_rate: weights.load * health.failure_rate,
                ejected_until: shifted.ejected_until.min(now + MAX_EJECTION),
                lost_until: shifted.lost_until.min(now + MAX_EJECTION),
                ..shifted
            };
        }
    }

    fn restore_response_times(&mut self, saved: &Learned, weights: &Weights) {
        let fleet = &mut self.fleet;
        for (&kind, &(relative, samples)) in &saved.kinds {
            // A reduced sample count gives new responses a higher weight.
            let samples = samples * weights.response_times;
            if relative > 0.0 && samples >= 1.0 {
                let times = KindResponseTime { relative, samples };
                fleet.response_times.kinds.entry(kind).or_insert(times);
            }
        }
        let loss_rates = &mut fleet.idle_connections.loss_rates;
        for (loss_rate, &saved) in loss_rates.iter_mut().zip(&saved.idle_loss_rates) {
            blend(loss_rate, saved, weights.response_times);
        }
        let times = &mut fleet.response_times;
        blend(
            &mut times.mean,
            saved.mean_response_time,
            weights.response_times,
        );
        blend(
            &mut times.deviation,
            saved.deviation,
            weights.response_times,
        );
    }
}
