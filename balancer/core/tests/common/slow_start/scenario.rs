//! The fleet, what clients request and what goes wrong.
use super::{RESTART_AT, SLOW_START_TIME};
use balancer_core::*;

/// The fleet, what clients request and what goes wrong.
pub(crate) struct Scenario {
    /// Balancers that run.
    pub balancers: usize,
    /// Balancers that the settings name.
    pub stated_balancers: usize,
    pub upstreams: u64,
    /// The first so many upstreams restart at [`RESTART_AT`].
    pub restarting: u64,
    /// Calls a second that an upstream carries after slow start.
    pub capacity: f64,
    /// Calls a second that clients make, as a part of what all upstreams carry.
    pub load: fn(f64) -> f64,
    /// How much of the traffic a balancer gets beside the others.
    pub weight: fn(usize) -> f64,
    /// How calls end, by upstream and time.
    pub ending: fn(UpstreamId, f64) -> Ending,
    /// Whether a balancer restarts then; looked at every 100 ms.
    pub restarts: fn(usize, f64) -> bool,
    /// Updates of the list but the restart itself: sent to all at that time.
    pub updates: Vec<(f64, Vec<Endpoint>)>,
    pub stage: u32,
    /// The part of what the upstreams carry that the quotas state.
    pub quotas: f64,
    /// Upstreams report how many requests a second they serve.
    pub reports_served: bool,
    /// Capacity of an upstream beside the others of the fleet.
    pub relative_capacity: fn(UpstreamId) -> f64,
    /// The zone of an upstream, of three; balancers run in all of them alike.
    pub zone: fn(UpstreamId) -> u16,
    /// Calls prefer the local zone.
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

    /// A ready upstream that started then.
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
