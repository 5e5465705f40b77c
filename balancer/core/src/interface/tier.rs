//! State that the instances of a tier share: observations with an age, never commands. A balancer also works without
//! it, with local information only.
use super::checks::is_amount;
use super::{Millis, UpstreamId};

/// Load of one tenant, summed over a tier.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantLoad {
    /// Requests per second.
    pub demand: f64,
    /// Mean number of upstream calls in flight over about a second; a call counts for its whole duration.
    pub calls_in_flight: f64,
    /// Open client connections.
    pub client_connections: f64,
}

impl TenantLoad {
    fn is_valid(&self) -> bool {
        [self.demand, self.calls_in_flight, self.client_connections]
            .into_iter()
            .all(is_amount)
    }
}

/// Load, summed over a tier. Rates are per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TierLoad {
    /// Incoming requests.
    pub demand: f64,
    /// Capacity of the next tier; zero if demand, capacity and attempts are unknown.
    pub capacity: f64,
    /// First attempts.
    pub first_attempts: f64,
    /// Retries.
    pub retries: f64,
    /// Load by tenant, in the order of [`Settings::tenants`](crate::Settings::tenants), plus one entry for all unlisted
    /// tenants.
    pub tenants: Vec<TenantLoad>,
}

impl TierLoad {
    /// Ratio of demand to capacity.
    pub fn demand_ratio(&self) -> f64 {
        self.demand / self.capacity.max(1.0)
    }
}

/// Sums over all live instances, this one included.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TierSums {
    /// The summed load.
    pub load: TierLoad,
    /// Upper bound on the age of the oldest summand.
    pub age: Millis,
    /// Relative standard error of the sums.
    pub error: f64,
}

impl TierSums {
    fn is_valid(&self) -> bool {
        let load = &self.load;
        let totals = [
            load.demand,
            load.capacity,
            load.first_attempts,
            load.retries,
            self.age,
            self.error,
        ];
        totals.into_iter().all(is_amount) && load.tenants.iter().all(TenantLoad::is_valid)
    }
}

/// An upstream or zone that observations refer to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// An upstream.
    Upstream(UpstreamId),
    /// A zone, by number.
    Zone(u16),
}

/// Observations of a failing upstream or zone by other instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// The observed upstream or zone.
    pub subject: Subject,
    /// Number of instances that observe the failure.
    pub observers: u32,
    /// Number of zones in which these instances run.
    pub zones: u32,
    /// Number of instances that have since received a response.
    pub cleared: u32,
    /// Upper bound on the age of the latest observation.
    pub age: Millis,
}

/// State of the tier, as received by this instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TierUpdate {
    /// Number of live instances, including this one; one if no other is known.
    pub live_instances: u32,
    /// Index of this instance among them, from zero.
    pub index: u32,
    /// Whether this instance is connected to most of them. A partitioned instance must not take its partition for the
    /// whole tier.
    pub connected: bool,
    /// Sums over the tier; absent if no recent ones were received, or if some instances do not support sums yet.
    pub sums: Option<TierSums>,
    /// Observations by other instances.
    pub evidence: Vec<Evidence>,
}

impl TierUpdate {
    /// Whether every number is valid; an invalid update is ignored.
    pub fn is_valid(&self) -> bool {
        // Member lists hold at most `u16::MAX` members.
        let is_member =
            self.index < self.live_instances && self.live_instances <= u32::from(u16::MAX);
        is_member
            && self.sums.iter().all(TierSums::is_valid)
            && self.evidence.iter().all(|evidence| is_amount(evidence.age))
    }
}

/// Observations of this instance, shared with the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observed {
    /// Load of this instance. `client_connections` is zero here; the host fills it in.
    pub load: TierLoad,
    /// Upstreams and zones that it observes to fail, the worst first.
    pub failing: Vec<Subject>,
    /// Upstreams and zones that failed and have responded since.
    pub cleared: Vec<Subject>,
}
