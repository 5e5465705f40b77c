//! What the instances of a tier know together: evidence with an age, never a command. A balancer works without any of
//! it, only less well informed.
use super::checks::is_amount;
use super::{Millis, UpstreamId};

/// One tenant's part in the sums over a tier.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantLoad {
    /// Requests a second that were made.
    pub demand: f64,
    /// Calls to upstreams in flight, as a mean over a second: slow calls count for as long as they last.
    pub calls: f64,
    /// Open connections of clients.
    pub client_connections: f64,
}

impl TenantLoad {
    fn is_sound(&self) -> bool {
        [self.demand, self.calls, self.client_connections]
            .into_iter()
            .all(is_amount)
    }
}

/// What is summed over a tier. Rates are per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TierLoad {
    /// Requests that were made.
    pub demand: f64,
    /// Requests that the next tier has the capacity for. Zero: demand, capacity and attempts are not known.
    pub capacity: f64,
    /// First attempts.
    pub first_attempts: f64,
    /// Retries.
    pub retries: f64,
    /// By position in [`Settings::tenants`](crate::Settings::tenants), with one further entry for all that are not
    /// listed.
    pub tenants: Vec<TenantLoad>,
}

impl TierLoad {
    /// Demand as a multiple of capacity.
    pub fn pressure(&self) -> f64 {
        self.demand / self.capacity.max(1.0)
    }
}

/// Sums over all live instances, this one included.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TierSums {
    /// The sums.
    pub load: TierLoad,
    /// Age of the oldest number in them, at most.
    pub age: Millis,
    /// Their relative standard error.
    pub error: f64,
}

impl TierSums {
    fn is_sound(&self) -> bool {
        let load = &self.load;
        let totals = [
            load.demand,
            load.capacity,
            load.first_attempts,
            load.retries,
            self.age,
            self.error,
        ];
        totals.into_iter().all(is_amount) && load.tenants.iter().all(TenantLoad::is_sound)
    }
}

/// What evidence is against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// An upstream.
    Upstream(UpstreamId),
    /// A zone, by position.
    Zone(u16),
}

/// Evidence of other instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// Against what.
    pub subject: Subject,
    /// Distinct instances that observe it.
    pub observers: u32,
    /// Distinct zones that these are in.
    pub zones: u32,
    /// Distinct instances that it has responded to again.
    pub cleared: u32,
    /// Age of the latest observation, at most.
    pub age: Millis,
}

/// What this instance has received of its tier.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TierUpdate {
    /// Instances that are up, this one included. One: nothing is known of others.
    pub up: u32,
    /// This one's position among them, from zero.
    pub position: u32,
    /// Whether it hears most of them: one that is partitioned off must not take its part for the full tier.
    pub joined: bool,
    /// Sums over them; absent where nothing recent enough was received, or not all instances send sums yet.
    pub sums: Option<TierSums>,
    /// Evidence of others.
    pub evidence: Vec<Evidence>,
}

impl TierUpdate {
    /// Whether every number in it is one that can be: an update that is not sound is ignored.
    pub fn is_sound(&self) -> bool {
        // As many members as a list can have.
        let is_member = self.position < self.up && self.up <= u32::from(u16::MAX);
        is_member
            && self.sums.iter().all(TierSums::is_sound)
            && self.evidence.iter().all(|evidence| is_amount(evidence.age))
    }
}

/// What this instance observes, for the others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observed {
    /// Its part in the sums. `callers` is left at zero: the host knows it.
    pub load: TierLoad,
    /// What it has evidence against, the worst first.
    pub against: Vec<Subject>,
    /// What it had evidence against and has had a response from since.
    pub cleared: Vec<Subject>,
}
