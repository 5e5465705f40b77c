//! Learns the next tier's capacity for this instance, from how late responses are.
use super::limits::CYCLE;
use crate::{interface::*, state::*};

/// Weight of the newest cycle in a tenant's demand: one instance sees only a few calls of a tenant per cycle.
pub(super) const DEMAND_GAIN: f64 = 0.3;
/// A response is timely within this part of its objective; the rest is for queues until they are known.
const TIMELY: f64 = 0.4;
/// Lateness counts from 0 there to 1 at the objective, and to this much for failures and timeouts.
pub(super) const MAX_LATENESS: f64 = 2.0;
/// Mean lateness at which capacity is unchanged: the tail that heavy work and slow servers have anyway.
const STEADY_LATENESS: f64 = 0.08;
/// Capacity before anything was learned: in the first tier the stated quotas, below it this multiple of them.
const INITIAL_MULTIPLE_BELOW: f64 = 4.0;
/// Capacity before anything was learned where no quotas are stated: calls per cycle.
const INITIAL_UNSTATED: f64 = 1000.0;
/// Least quota of an instance: calls per cycle.
const MIN_QUOTA: f64 = 0.1;
/// Growth of capacity per cycle when no response is late.
const CAPACITY_GROWTH: f64 = 0.2;
/// Fall of capacity per cycle for each unit of lateness.
const CAPACITY_FALL: f64 = 0.6;
/// Largest fall of capacity in one cycle.
const MAX_CAPACITY_FALL: f64 = 0.35;
/// Part of responses in time below which the floor gives way.
pub(super) const MIN_SUCCESS: f64 = 0.7;
/// Least part of the floor, or nothing would return.
pub(super) const MIN_FLOOR: f64 = 0.3;
/// Responses that are needed to judge by.
const MIN_RESPONSES: f64 = 4.0;
/// Response time in unloaded ones at which calls in flight are what capacity takes.
pub(super) const IN_FLIGHT_FULL: f64 = 1.6;
/// Response time in unloaded ones at which all requests are refused.
pub(super) const MAX_IN_FLIGHT: f64 = 2.2;
/// Growth per cycle of what counts as the unloaded response time, which is the least mean seen of late.
const UNLOADED_GROWTH: f64 = 0.02;
/// Capacity stays within this multiple of the peak lately admitted.
const CAPACITY_MARGIN: f64 = 2.0;
/// What a cycle keeps of the peak lately admitted and the like.
pub(super) const CYCLE_DECAY: f64 = 0.95;

/// A cycle that has ended.
pub(super) struct CycleEnd {
    /// Requests that were admitted.
    pub admitted: f64,
    /// The part of its length that it lasted.
    pub part: f64,
    /// Whether it lasted long enough to judge by.
    pub complete: bool,
    /// Whether requests within their limits were refused.
    pub refused_within_limit: bool,
}

impl Capacity {
    pub(crate) fn new(settings: &Settings) -> Self {
        let tenants = settings.tenants.iter();
        let balancers = f64::from(settings.balancers);
        let quota_per_s = tenants.map(|tenant| tenant.quota_per_s).sum::<f64>() / balancers;
        // Starting above its quotas, the first tier overloaded the servers at once. Tiers below start with more
        // capacity, as a refusal there wastes the work done above; not with more for upstreams in slow start.
        let is_first_tier = settings.stage == 0;
        let multiple = if is_first_tier {
            1.0
        } else {
            INITIAL_MULTIPLE_BELOW
        };
        let stated = multiple * quota_per_s * CYCLE / 1000.0;
        // Quotas count clients' requests: tiers below get several calls for one.
        let total_quota = if is_first_tier {
            stated * balancers
        } else {
            0.0
        };
        // Without stated quotas nothing is known: the first cycle refuses no one and shows what is carried.
        let capacity = if stated > 0.0 {
            stated
        } else {
            INITIAL_UNSTATED
        };
        let objective = settings.mean_objective();
        Capacity {
            load: Load {
                capacity,
                recent: stated / multiple,
                peak: stated,
                unloaded: objective / 4.0,
                success: 1.0,
                uncrowded: 1.0,
                served: 0.0,
            },
            even_quota: (quota_per_s * CYCLE / 1000.0).max(MIN_QUOTA),
            total_quota,
            listed: 1.0,
            usable: 1.0,
            timely: TIMELY * objective,
            ..Capacity::default()
        }
    }

    /// Records the mean response time. The unloaded one is the least mean of late, let up only while most responses
    /// are in time.
    pub(crate) fn record_response_time(&mut self, mean: Millis) {
        let load = &mut self.load;
        let growth = if load.success < MIN_SUCCESS {
            1.0
        } else {
            1.0 + UNLOADED_GROWTH
        };
        load.unloaded = (load.unloaded * growth).min(mean);
        // Overloaded servers stay slow: the floor gives way, and returns in steps, or so would the overload.
        if mean > MAX_IN_FLIGHT * load.unloaded {
            load.uncrowded *= 1.0 - MAX_CAPACITY_FALL;
        } else if mean < IN_FLIGHT_FULL * load.unloaded {
            load.uncrowded *= 1.0 + CAPACITY_GROWTH;
        }
        load.uncrowded = load.uncrowded.clamp(MIN_FLOOR, 1.0);
    }

    /// Updates what was admitted of late, and adapts the capacity after a complete cycle.
    pub(super) fn end_cycle(&mut self, cycle: &CycleEnd) {
        let per_cycle = cycle.admitted / cycle.part;
        if cycle.part > 0.0 {
            self.load.recent += cycle.part * DEMAND_GAIN * (per_cycle - self.load.recent);
        }
        if !cycle.complete {
            return;
        }
        self.load.peak = per_cycle.max(self.load.peak * CYCLE_DECAY);
        self.adapt(per_cycle);
        // More is lent than can be carried: back to that, so that limits decide who is refused.
        let carried = if cycle.refused_within_limit {
            per_cycle
        } else {
            f64::INFINITY
        };
        let max = carried.min(self.load.peak * CAPACITY_MARGIN + 1.0);
        self.load.capacity = self.load.capacity.min(max).max(self.floor());
        if self.knows_served() {
            // Past the quotas little is gained, and what instances learn in quiet times overloads all in a burst.
            let max = self.quota_share() * (1.0 + CAPACITY_GROWTH);
            self.load.capacity = self.load.capacity.min(max);
        }
    }

    /// Whether it is known how much of the stated quotas all instances together get served.
    fn knows_served(&self) -> bool {
        self.load.served > 0.0 && self.total_quota > 0.0
    }

    /// Least capacity, or lateness would cut it to nothing: the quotas, as far as responses and upstreams let.
    fn floor(&self) -> f64 {
        let success = (self.load.success / MIN_SUCCESS).clamp(MIN_FLOOR, self.load.uncrowded);
        self.quota_share() * self.usable * success
    }

    /// This instance's part of the quotas: an even one, or more where clients send it more than others.
    fn quota_share(&self) -> f64 {
        let part = if self.load.served > 0.0 {
            (self.load.recent / self.load.served).min(1.0)
        } else {
            0.0
        };
        self.even_quota.max(self.total_quota * part)
    }

    /// Records how many calls per cycle all instances together get served, as far as that is known.
    pub(crate) fn record_served(&mut self, served: Option<f64>) {
        let before = if self.load.served > 0.0 {
            self.load.served
        } else {
            self.total_quota
        };
        self.load.served = served.map_or(0.0, |served| before + DEMAND_GAIN * (served - before));
    }

    /// What the upstreams carry per cycle for this balancer when all is well, though an overload admits less.
    /// More balancers than stated get less each: by what is served in all, else by the demand on each.
    pub(crate) fn carried(&self, demand: f64) -> f64 {
        let carried = self.load.recent * self.load.success.max(MIN_FLOOR);
        let quota = if self.knows_served() {
            self.total_quota * (carried / self.load.served).min(1.0)
        } else {
            self.even_quota.min(CAPACITY_MARGIN * demand)
        };
        carried.max(quota * self.listed)
    }

    /// Records how late a response was.
    pub(crate) fn record_lateness(&mut self, lateness: f64) {
        if lateness < 1.0 {
            self.in_time += 1.0;
        }
        self.lateness += lateness;
        self.responses += 1.0;
    }

    /// Moves the learned capacity: up the more the sooner responses come; down beyond the tail that always is.
    fn adapt(&mut self, admitted: f64) {
        if self.responses < MIN_RESPONSES {
            return;
        }
        let mean = self.lateness / self.responses;
        let load = &mut self.load;
        load.success += DEMAND_GAIN * (self.in_time / self.responses - load.success);
        if mean > STEADY_LATENESS {
            let fall = (CAPACITY_FALL * (mean - STEADY_LATENESS)).min(MAX_CAPACITY_FALL);
            let lowered = load.capacity * (1.0 - fall);
            self.load.capacity = lowered.max(self.floor());
        } else {
            // What was admitted and served in time was within capacity, whatever was learned before.
            let growth = 1.0 + CAPACITY_GROWTH * (1.0 - mean / STEADY_LATENESS);
            load.capacity = load.capacity.max(admitted) * growth;
        }
        self.lateness = 0.0;
        self.in_time = 0.0;
        self.responses = 0.0;
    }
}

/// How late a response is that took `relative` of its class's objective.
pub(super) fn lateness(relative: f64) -> f64 {
    ((relative - TIMELY) / (1.0 - TIMELY)).clamp(0.0, MAX_LATENESS)
}
