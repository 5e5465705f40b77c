//! Decides which requests are admitted, from what tenants requested and got this cycle and the calls in flight.
use super::{capacity::*, limits::*, load_shedding::CAPACITY_MARGIN};
use crate::{interface::*, state::*};

/// Cycles' worth of limit that a tenant may save up; evens out the chance arrivals of tiny counts.
const BURST_CYCLES: f64 = 6.0;
/// Calls in flight that are always allowed, since an instance with little traffic cannot send parts of a call.
const MIN_IN_FLIGHT: f64 = 1.0;
/// Part of its length from which a cycle counts as complete.
const COMPLETE_CYCLE: f64 = 0.5;

impl Admission {
    /// Counts the request as demand and decides whether it is admitted.
    pub(crate) fn admit(
        &mut self,
        tenant: usize,
        verdict: SheddingVerdict,
        now: Millis,
        capacity: &mut Capacity,
    ) -> bool {
        if !self.tenants[tenant].seen {
            // A new tenant ends the cycle early, so that it has a limit at once (as published).
            self.tenants[tenant].seen = true;
            self.end_cycle(now, capacity);
        }
        // Responses tell of an overload only when they come, late. Calls in flight tell at once: more than
        // the capacity takes in the unloaded response time are waiting somewhere.
        let load = &capacity.load;
        let in_flight_during = |time: Millis| load.capacity / CYCLE * time + MIN_IN_FLIGHT;
        let full_in_flight = in_flight_during(load.unloaded * IN_FLIGHT_FULL);
        let max_in_flight = in_flight_during((load.unloaded * MAX_IN_FLIGHT).max(capacity.timely));
        let state = &mut self.tenants[tenant];
        state.cycle_requests += 1.0;
        let in_flight = self.in_flight - self.in_flight_lost;
        let full = self.uncovered >= load.capacity || in_flight >= full_in_flight;
        // Where the tier has a level, a request above it is as within limits; those within limits there go last.
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
        self.uncovered += 1.0;
        self.cycle_admitted += 1.0;
        true
    }

    /// Ends the cycle: updates demands and capacity, and gives tenants new limits.
    pub(crate) fn end_cycle(&mut self, now: Millis, capacity: &mut Capacity) {
        // A cycle that a new tenant cut short counts for the part that it lasted.
        let part = ((now - self.cycle_start) / CYCLE).clamp(0.0, 1.0);
        self.cycle_start = now;
        self.update_demands(part);
        let refused_within_limit =
            part >= COMPLETE_CYCLE && std::mem::take(&mut self.refused_within_limit);
        capacity.end_cycle(&CycleEnd {
            admitted: self.cycle_admitted,
            part,
            complete: part >= COMPLETE_CYCLE,
            refused_within_limit,
        });
        self.cycle_admitted = 0.0;
        let capacity = capacity.load.capacity;
        self.update_limits(part, capacity);
        self.uncovered = (self.uncovered - capacity * part).clamp(0.0, capacity);
    }

    fn update_demands(&mut self, part: f64) {
        let gain = part * DEMAND_GAIN;
        for tenant in self.tenants.iter_mut().filter(|tenant| tenant.seen) {
            if part > 0.0 {
                tenant.demand += gain * (tenant.cycle_requests / part - tenant.demand);
            }
            tenant.cycle_requests = 0.0;
        }
    }

    fn update_limits(&mut self, part: f64, capacity: f64) {
        let seen = || self.tenants.iter().filter(|tenant| tenant.seen);
        // Tiny counts: a limit at the mean refuses half the cycles of a steady tenant, so one deviation more.
        let demands: Vec<f64> = seen()
            .map(|tenant| tenant.demand + tenant.demand.sqrt())
            .collect();
        let weights: Vec<f64> = seen().map(|tenant| tenant.weight).collect();
        let new_limits = limits(capacity, &demands, &weights, RESERVATION);
        let seen = self.tenants.iter_mut().filter(|tenant| tenant.seen);
        for (tenant, limit) in seen.zip(new_limits) {
            let unused = tenant.admitted - tenant.limit * part;
            tenant.admitted = unused.clamp(-BURST_CYCLES * limit, limit);
            tenant.limit = limit;
        }
    }
}

impl Balancer {
    /// The tenant furthest over its share of callers' connections; one that can spare none holds zero.
    pub fn furthest_over(&self, in_use: &[u32]) -> Option<usize> {
        let tenants = &self.admission.tenants;
        let relative = |tenant: &usize| f64::from(in_use[*tenant]) / tenants[*tenant].weight;
        (0..in_use.len().min(tenants.len()))
            .filter(|&tenant| in_use[tenant] > 0)
            .max_by(|a, b| relative(a).total_cmp(&relative(b)))
    }
}
