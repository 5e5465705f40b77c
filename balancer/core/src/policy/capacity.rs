//! Learns the next tier's capacity for this instance from the lateness of responses.
use super::limits::CYCLE;
use crate::{interface::*, state::*};

/// Weight of the latest cycle in a tenant's smoothed demand; low, as an instance sees few calls per tenant and cycle.
pub(super) const DEMAND_GAIN: f64 = 0.3;
/// Fraction of the objective up to which lateness is zero; the rest is headroom for queues that have not been detected
/// yet.
const ZERO_LATENESS_FRACTION: f64 = 0.4;
/// Maximum lateness, also that of failures and timeouts. Lateness is 0 at [`ZERO_LATENESS_FRACTION`] and 1 at the
/// objective.
pub(super) const MAX_LATENESS: f64 = 2.0;
/// Mean lateness at which capacity stays unchanged: expensive calls and slow servers cause some without overload.
const STEADY_LATENESS: f64 = 0.08;
/// Initial capacity as a multiple of the quotas, below the first tier. In the first tier it equals the quotas.
const INITIAL_MULTIPLE_BELOW: f64 = 4.0;
/// Initial capacity if no quotas are configured, in calls per cycle.
const INITIAL_UNSTATED: f64 = 1000.0;
/// Minimum quota of an instance, in calls per cycle.
const MIN_QUOTA: f64 = 0.1;
/// Relative increase of capacity per cycle if no response is late.
const CAPACITY_GROWTH: f64 = 0.2;
/// Relative decrease of capacity per cycle and unit of mean lateness.
const CAPACITY_DECREASE: f64 = 0.6;
/// Maximum relative decrease of capacity per cycle.
const MAX_CAPACITY_DECREASE: f64 = 0.35;
/// Fraction of responses within their objective below which the capacity floor is lowered.
pub(super) const MIN_ON_TIME_FRACTION: f64 = 0.7;
/// Minimum fraction of the capacity floor; without one, traffic would not recover.
pub(super) const MIN_FLOOR: f64 = 0.3;
/// Minimum number of responses to adapt capacity.
const MIN_RESPONSES: f64 = 4.0;
/// The bound on calls in flight without queueing, as a multiple of capacity times unloaded response time.
pub(super) const FULL_IN_FLIGHT_MULTIPLE: f64 = 1.6;
/// The bound on calls in flight beyond which all requests are refused, as a multiple of capacity times unloaded
/// response time.
pub(super) const MAX_IN_FLIGHT_MULTIPLE: f64 = 2.2;
/// Relative increase per cycle of the unloaded response time, which tracks the recent minimum of the mean.
const UNLOADED_GROWTH: f64 = 0.02;
/// Maximum capacity as a multiple of the recent peak of admitted requests.
const CAPACITY_MARGIN: f64 = 2.0;
/// Decay factor per cycle, of the recent peak and of ejection counts.
pub(super) const CYCLE_DECAY: f64 = 0.95;

/// Summary of a completed cycle.
pub(super) struct CycleEnd {
    /// Admitted requests.
    pub admitted: f64,
    /// Duration as a fraction of the cycle length.
    pub fraction: f64,
    /// Whether it lasted long enough to adapt capacity.
    pub complete: bool,
    /// Whether requests within their limits were refused.
    pub refused_within_limit: bool,
}

impl Capacity {
    pub(crate) fn new(settings: &Settings) -> Self {
        let tenants = settings.tenants.iter();
        let balancers = f64::from(settings.balancers);
        let quota_per_s = tenants.map(|tenant| tenant.quota_per_s).sum::<f64>() / balancers;
        // Starting above its quotas, the first tier overloads the servers immediately. Lower tiers start with a higher
        // capacity, as a refusal there wastes work of the tiers above; this does not raise slow-start budgets.
        let is_first_tier = settings.stage == 0;
        let multiple = if is_first_tier {
            1.0
        } else {
            INITIAL_MULTIPLE_BELOW
        };
        let stated = multiple * quota_per_s * CYCLE / 1000.0;
        // Quotas count client requests; lower tiers get several calls per request.
        let total_quota = if is_first_tier {
            stated * balancers
        } else {
            0.0
        };
        // Without configured quotas the first cycle admits everything, to observe the load that is carried.
        let capacity = if stated > 0.0 {
            stated
        } else {
            INITIAL_UNSTATED
        };
        let objective = settings.mean_objective();
        Capacity {
            load: Load {
                capacity,
                admitted_mean: stated / multiple,
                admitted_peak: stated,
                unloaded_response_time: objective / 4.0,
                on_time_fraction: 1.0,
                floor_fraction: 1.0,
                served_rate: 0.0,
            },
            even_quota: (quota_per_s * CYCLE / 1000.0).max(MIN_QUOTA),
            total_quota,
            listed: 1.0,
            usable: 1.0,
            zero_lateness_limit: ZERO_LATENESS_FRACTION * objective,
            ..Capacity::default()
        }
    }

    /// Records the mean response time. The unloaded response time is its recent minimum, which increases only while most
    /// responses are within their objective.
    pub(crate) fn record_response_time(&mut self, mean: Millis) {
        let load = &mut self.load;
        let growth = if load.on_time_fraction < MIN_ON_TIME_FRACTION {
            1.0
        } else {
            1.0 + UNLOADED_GROWTH
        };
        load.unloaded_response_time = (load.unloaded_response_time * growth).min(mean);
        // Overloaded servers stay slow unless the floor is lowered. It is raised again in steps, so that the overload does
        // not recur.
        if mean > MAX_IN_FLIGHT_MULTIPLE * load.unloaded_response_time {
            load.floor_fraction *= 1.0 - MAX_CAPACITY_DECREASE;
        } else if mean < FULL_IN_FLIGHT_MULTIPLE * load.unloaded_response_time {
            load.floor_fraction *= 1.0 + CAPACITY_GROWTH;
        }
        load.floor_fraction = load.floor_fraction.clamp(MIN_FLOOR, 1.0);
    }

    /// Updates the admitted rates, and adapts the capacity after a complete cycle.
    pub(super) fn end_cycle(&mut self, cycle: &CycleEnd) {
        let per_cycle = cycle.admitted / cycle.fraction;
        if cycle.fraction > 0.0 {
            self.load.admitted_mean +=
                cycle.fraction * DEMAND_GAIN * (per_cycle - self.load.admitted_mean);
        }
        if !cycle.complete {
            return;
        }
        self.load.admitted_peak = per_cycle.max(self.load.admitted_peak * CYCLE_DECAY);
        self.adapt(per_cycle);
        // Refusals within limits mean that the limits exceed what is carried: lower capacity to the carried rate, so that
        // the limits decide which tenants are refused.
        let carried = if cycle.refused_within_limit {
            per_cycle
        } else {
            f64::INFINITY
        };
        let max = carried.min(self.load.admitted_peak * CAPACITY_MARGIN + 1.0);
        self.load.capacity = self.load.capacity.min(max).max(self.floor());
        if self.knows_served_rate() {
            // Capacity learned under low load, summed over all instances, would overload the upstreams in a burst; so it
            // stays close to the quotas.
            let max = self.quota_share() * (1.0 + CAPACITY_GROWTH);
            self.load.capacity = self.load.capacity.min(max);
        }
    }

    /// Whether both the total quota and the served rate over all instances are known.
    fn knows_served_rate(&self) -> bool {
        self.load.served_rate > 0.0 && self.total_quota > 0.0
    }

    /// Minimum capacity, without which lateness could reduce it to zero: the quota, scaled down with the usable upstreams
    /// and the fraction of responses within their objective.
    fn floor(&self) -> f64 {
        let fraction = (self.load.on_time_fraction / MIN_ON_TIME_FRACTION)
            .clamp(MIN_FLOOR, self.load.floor_fraction);
        self.quota_share() * self.usable * fraction
    }

    /// This instance's share of the quotas: an equal one, or a larger one if it gets more traffic than others.
    fn quota_share(&self) -> f64 {
        let traffic_share = if self.load.served_rate > 0.0 {
            (self.load.admitted_mean / self.load.served_rate).min(1.0)
        } else {
            0.0
        };
        self.even_quota.max(self.total_quota * traffic_share)
    }

    /// Records the served rate over all instances in calls per cycle; `None` if unknown.
    pub(crate) fn record_served_rate(&mut self, served_rate: Option<f64>) {
        let before = if self.load.served_rate > 0.0 {
            self.load.served_rate
        } else {
            self.total_quota
        };
        self.load.served_rate =
            served_rate.map_or(0.0, |rate| before + DEMAND_GAIN * (rate - before));
    }

    /// Calls per cycle that the upstreams carry for this balancer in normal operation; not reduced by an overload.
    /// If more balancers run than configured, each one's part is smaller: it follows from the total served rate, or else
    /// from its own demand.
    pub(crate) fn carried(&self, demand: f64) -> f64 {
        let carried = self.load.admitted_mean * self.load.on_time_fraction.max(MIN_FLOOR);
        let quota = if self.knows_served_rate() {
            self.total_quota * (carried / self.load.served_rate).min(1.0)
        } else {
            self.even_quota.min(CAPACITY_MARGIN * demand)
        };
        carried.max(quota * self.listed)
    }

    /// Records the lateness of a response.
    pub(crate) fn record_lateness(&mut self, lateness: f64) {
        if lateness < 1.0 {
            self.on_time += 1.0;
        }
        self.lateness += lateness;
        self.responses += 1.0;
    }

    /// Adapts the learned capacity: up by more the lower the lateness; down if lateness exceeds [`STEADY_LATENESS`].
    fn adapt(&mut self, admitted: f64) {
        if self.responses < MIN_RESPONSES {
            return;
        }
        let mean = self.lateness / self.responses;
        let load = &mut self.load;
        load.on_time_fraction +=
            DEMAND_GAIN * (self.on_time / self.responses - load.on_time_fraction);
        if mean > STEADY_LATENESS {
            let decrease =
                (CAPACITY_DECREASE * (mean - STEADY_LATENESS)).min(MAX_CAPACITY_DECREASE);
            let lowered = load.capacity * (1.0 - decrease);
            self.load.capacity = lowered.max(self.floor());
        } else {
            // Requests that were admitted and served on time were within capacity, whatever was learned before.
            let growth = 1.0 + CAPACITY_GROWTH * (1.0 - mean / STEADY_LATENESS);
            load.capacity = load.capacity.max(admitted) * growth;
        }
        self.lateness = 0.0;
        self.on_time = 0.0;
        self.responses = 0.0;
    }
}

/// Lateness of a response that took `relative` times its class's objective.
pub(super) fn lateness(relative: f64) -> f64 {
    ((relative - ZERO_LATENESS_FRACTION) / (1.0 - ZERO_LATENESS_FRACTION)).clamp(0.0, MAX_LATENESS)
}
