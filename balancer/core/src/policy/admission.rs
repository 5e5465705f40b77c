//! Admission control: by tenant limits, the capacity of the cycle and the calls in flight.
use super::{capacity::*, limits::*, load_shedding::CAPACITY_MARGIN};
use crate::{interface::*, state::*};

/// Unused limit that a tenant may accumulate, in cycles; smooths random arrivals at low request counts.
const BURST_CYCLES: f64 = 6.0;
/// Calls in flight that are always allowed, as the computed bound is below one for an instance with little traffic.
const MIN_IN_FLIGHT: f64 = 1.0;
/// Minimum fraction of its length for a cycle to count as complete.
const COMPLETE_CYCLE: f64 = 0.5;

impl Admission {
    /// Counts the request towards demand and decides whether it is admitted.
    pub(crate) fn admit(
        &mut self,
        tenant: usize,
        verdict: SheddingVerdict,
        now: Millis,
        capacity: &mut Capacity,
    ) -> bool {
        if !self.tenants[tenant].seen {
            // A new tenant ends the cycle early, so that it gets a limit immediately (as in the published algorithm).
            self.tenants[tenant].seen = true;
            self.end_cycle(now, capacity);
        }
        // Late responses reveal an overload only when they arrive. The number of calls in flight reveals it
        // immediately: calls beyond capacity times unloaded response time are queued somewhere.
        let load = &capacity.load;
        let in_flight_during = |time: Millis| load.capacity / CYCLE * time + MIN_IN_FLIGHT;
        let full_in_flight =
            in_flight_during(load.unloaded_response_time * FULL_IN_FLIGHT_MULTIPLE);
        let max_in_flight = in_flight_during(
            (load.unloaded_response_time * MAX_IN_FLIGHT_MULTIPLE)
                .max(capacity.zero_lateness_limit),
        );
        let state = &mut self.tenants[tenant];
        state.cycle_requests += 1.0;
        let in_flight = self.in_flight - self.in_flight_lost;
        let full = self.bucket_level >= load.capacity || in_flight >= full_in_flight;
        // If the tier has a shedding level, requests above it count as within limits, and requests of tenants within
        // their tier-wide limit are refused last.
        let within_limit = state.admitted < state.limit || verdict != SheddingVerdict::NoLevel;
        let max_in_flight = if verdict == SheddingVerdict::WithinLimit {
            max_in_flight * CAPACITY_MARGIN
        } else {
            max_in_flight
        };
        let shed = verdict == SheddingVerdict::BelowLevel;
        if in_flight >= max_in_flight || (full && !within_limit) || shed {
            self.refused_within_limit |= within_limit && !shed;
            return false;
        }
        state.admitted += 1.0;
        self.bucket_level += 1.0;
        self.cycle_admitted += 1.0;
        true
    }

    /// Ends the cycle: updates demands, capacity and tenant limits.
    pub(crate) fn end_cycle(&mut self, now: Millis, capacity: &mut Capacity) {
        // A cycle that a new tenant ended early counts in proportion to its duration.
        let fraction = ((now - self.cycle_start) / CYCLE).clamp(0.0, 1.0);
        self.cycle_start = now;
        self.update_demands(fraction);
        let refused_within_limit =
            fraction >= COMPLETE_CYCLE && std::mem::take(&mut self.refused_within_limit);
        capacity.end_cycle(&CycleEnd {
            admitted: self.cycle_admitted,
            fraction,
            complete: fraction >= COMPLETE_CYCLE,
            refused_within_limit,
        });
        self.cycle_admitted = 0.0;
        let capacity = capacity.load.capacity;
        self.update_limits(fraction, capacity);
        self.bucket_level = (self.bucket_level - capacity * fraction).clamp(0.0, capacity);
    }

    fn update_demands(&mut self, fraction: f64) {
        let gain = fraction * DEMAND_GAIN;
        for tenant in self.tenants.iter_mut().filter(|tenant| tenant.seen) {
            if fraction > 0.0 {
                tenant.demand += gain * (tenant.cycle_requests / fraction - tenant.demand);
            }
            tenant.cycle_requests = 0.0;
        }
    }

    fn update_limits(&mut self, fraction: f64, capacity: f64) {
        let seen = || self.tenants.iter().filter(|tenant| tenant.seen);
        // At low request counts, a limit at the mean would refuse requests of a steady tenant in half of the cycles,
        // so one standard deviation is added.
        let demands: Vec<f64> = seen()
            .map(|tenant| tenant.demand + tenant.demand.sqrt())
            .collect();
        let weights: Vec<f64> = seen().map(|tenant| tenant.weight).collect();
        let new_limits = limits(capacity, &demands, &weights, RESERVATION);
        let seen = self.tenants.iter_mut().filter(|tenant| tenant.seen);
        for (tenant, limit) in seen.zip(new_limits) {
            let unused = tenant.admitted - tenant.limit * fraction;
            tenant.admitted = unused.clamp(-BURST_CYCLES * limit, limit);
            tenant.limit = limit;
        }
    }
}

impl Balancer {
    /// The tenant with the most client connections relative to its share; tenants with zero are skipped.
    pub fn tenant_furthest_over_share(&self, in_use: &[u32]) -> Option<usize> {
        let tenants = &self.admission.tenants;
        let relative = |tenant: &usize| f64::from(in_use[*tenant]) / tenants[*tenant].weight;
        (0..in_use.len().min(tenants.len()))
            .filter(|&tenant| in_use[tenant] > 0)
            .max_by(|a, b| relative(a).total_cmp(&relative(b)))
    }
}
