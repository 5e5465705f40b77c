//! Owns what tenants asked for and got this cycle, and how many calls are in flight: decides who passes.
use super::{capacity::*, limits::*, shed::ROOM_SPARE};
use crate::{interface::*, state::*};

/// Cycles' worth of limit that a tenant may save up; evens out the chance arrivals of tiny counts.
const BURST_CYCLES: f64 = 6.0;
/// Calls in flight that are always allowed, since a copy that carries little cannot send parts of a call.
const INFLIGHT_SPARE: f64 = 1.0;

impl Admission {
    /// Counts the request as demand and decides whether it passes.
    pub(crate) fn admit(
        &mut self,
        tenant: usize,
        level: Level,
        now: Millis,
        tier: &mut Capacity,
    ) -> bool {
        if !self.tenants[tenant].seen {
            // A new tenant ends the cycle early, so that it has a limit at once (as published).
            self.tenants[tenant].seen = true;
            self.end_cycle(now, tier);
        }
        // Answers tell of an overload only when they come, late. Calls in flight tell at once: more than
        // the capacity takes in the unloaded answer time are waiting somewhere.
        let room = |time: Millis| tier.load.capacity / CYCLE * time + INFLIGHT_SPARE;
        let full = room(tier.load.unloaded * INFLIGHT_FULL);
        let most = room((tier.load.unloaded * INFLIGHT_MOST).max(tier.timely));
        let t = &mut self.tenants[tenant];
        t.count += 1.0;
        let inflight = self.inflight - self.lost;
        let full = self.admitted >= tier.load.capacity || inflight >= full;
        // Where the tier has a level, who is above it is as within limits; who is within there goes last.
        let within = t.admitted < t.limit || level != Level::Absent;
        let most = if level == Level::Within {
            most * ROOM_SPARE
        } else {
            most
        };
        if inflight >= most || (full && !within) || level == Level::Below {
            self.crowded |= within && level != Level::Below;
            return false;
        }
        t.admitted += 1.0;
        self.admitted += 1.0;
        self.cycle_admitted += 1.0;
        true
    }

    pub(crate) fn end_cycle(&mut self, now: Millis, tier: &mut Capacity) {
        // A cycle that a new tenant cut short counts for the part that it lasted.
        let part = ((now - self.cycle_start) / CYCLE).clamp(0.0, 1.0);
        self.cycle_start = now;
        let gain = part * DEMAND_GAIN;
        for t in self.tenants.iter_mut().filter(|t| t.seen) {
            t.demand += if part > 0.0 {
                gain * (t.count / part - t.demand)
            } else {
                0.0
            };
            t.count = 0.0;
        }
        let crowded = part >= 0.5 && std::mem::take(&mut self.crowded);
        tier.end_cycle(self.cycle_admitted, part, crowded);
        self.cycle_admitted = 0.0;
        // Tiny counts: a limit at the mean refuses half the cycles of a steady tenant, so one deviation more.
        let seen: Vec<usize> = (0..self.tenants.len())
            .filter(|&i| self.tenants[i].seen)
            .collect();
        let demands: Vec<f64> = seen
            .iter()
            .map(|&i| self.tenants[i].demand)
            .map(|d| d + d.sqrt())
            .collect();
        let weights: Vec<f64> = seen.iter().map(|&i| self.tenants[i].weight).collect();
        let fresh = limits(tier.load.capacity, &demands, &weights, RESERVATION);
        for (&i, limit) in seen.iter().zip(fresh) {
            let t = &mut self.tenants[i];
            t.admitted = (t.admitted - t.limit * part).clamp(-BURST_CYCLES * limit, limit);
            t.limit = limit;
        }
        self.admitted = (self.admitted - tier.load.capacity * part).clamp(0.0, tier.load.capacity);
    }
}

impl Balancer {
    /// The tenant furthest over its share of callers' connections; one that can spare none holds zero.
    pub fn furthest_over(&self, held: &[u32]) -> Option<usize> {
        let over = |i: &usize| f64::from(held[*i]) / self.admission.tenants[*i].weight;
        let some = (0..held.len().min(self.admission.tenants.len())).filter(|&i| held[i] > 0);
        some.max_by(|a, b| over(a).total_cmp(&over(b)))
    }
}
