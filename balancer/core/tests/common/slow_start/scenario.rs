//! Configuration of a simulated scenario.
use super::{RESTART_AT, SLOW_START_TIME};
use balancer_core::*;

/// The fleet, the client load and the failures of a scenario.
pub(crate) struct Scenario {
    /// Number of running balancers.
    pub balancers: usize,
    /// Number of balancers in the settings.
    pub stated_balancers: usize,
    pub upstreams: u64,
    /// Number of upstreams, from the first, that restart at [`RESTART_AT`].
    pub restarting: u64,
    /// Capacity of an upstream after slow start, in calls per second.
    pub capacity: f64,
    /// Client load over time, as a fraction of the capacity of all upstreams.
    pub load: fn(f64) -> f64,
    /// Traffic of a balancer relative to the others.
    pub weight: fn(usize) -> f64,
    /// Ending of calls, by upstream and time.
    pub ending: fn(UpstreamId, f64) -> Ending,
    /// Whether a balancer restarts at a time; checked every 100 ms.
    pub restarts: fn(usize, f64) -> bool,
    /// Endpoint updates other than the restart, sent to all balancers at the given time.
    pub updates: Vec<(f64, Vec<Endpoint>)>,
    pub stage: u32,
    /// Quotas as a fraction of the capacity of all upstreams.
    pub quotas: f64,
    /// Whether upstreams report their request rate.
    pub reports_served: bool,
    /// Capacity of an upstream relative to the others.
    pub relative_capacity: fn(UpstreamId) -> f64,
    /// Zone of an upstream, out of three; balancers are evenly distributed over them.
    pub zone: fn(UpstreamId) -> u16,
    /// Whether calls prefer the local zone.
    pub prefers_local: bool,
    pub span: f64,
    pub seed: u64,
}

impl Scenario {
    pub(crate) fn new(balancers: usize, upstreams: u64, capacity: f64, seed: u64) -> Self {
        Scenario {
            balancers,
            stated_balancers: balancers,
            upstreams,
            restarting: 1,
            capacity,
            load: |_| 1.0,
            weight: |_| 1.0,
            ending: |_, _| Ending::Ok,
            restarts: |_, _| false,
            updates: Vec::new(),
            stage: 0,
            quotas: 1.0,
            reports_served: false,
            relative_capacity: |_| 1.0,
            zone: |_| 0,
            prefers_local: false,
            span: RESTART_AT + SLOW_START_TIME,
            seed,
        }
    }

    /// A ready upstream that started at the given time.
    pub(crate) fn listed(&self, id: u64, since: f64) -> Endpoint {
        let zone = (self.zone)(UpstreamId(id));
        Endpoint {
            kind: (id % 3) as u8,
            zone,
            since,
            ..crate::common::endpoint(id)
        }
    }
}
