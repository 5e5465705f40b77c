//! The parts of a plan.
use crate::experiment::{Damage, FaultKind, Millis};
use serde::Serialize;

/// An upstream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Upstream {
    /// ID in discovery.
    pub name: String,
    /// Index of its tier.
    pub tier: usize,
    /// Index of its zone.
    pub zone: usize,
    /// Index of its kind within the tier.
    pub kind: usize,
    /// Number of its cell, unique within the tier.
    pub cell: u16,
    /// Number of cores.
    pub cores: usize,
    /// Relative speed of each core.
    pub speed: f64,
    /// Number of concurrently processed requests.
    pub slots: usize,
    /// Maximum queue length.
    pub queue: usize,
    /// Fraction of its capacity at the start of slow start.
    pub slow_start_from: f64,
    /// Duration of slow start.
    pub slow_start_time: Millis,
    /// Fraction of requests answered with an error.
    pub errors: f64,
    /// Whether cancelling a request stops work in progress.
    pub cancel_stops: bool,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Round trips before the first request on a new connection is read.
    pub round_trips: f64,
    /// Work to accept a connection, in core-milliseconds.
    pub connection_work: f64,
    /// Fraction of the capacity that is lost when its connection table is full.
    pub full_tax: f64,
    /// Sampling period of load reports.
    pub report_period: Millis,
    /// Delay from sampling until the values are reported.
    pub report_delay: Millis,
    /// Overload behavior, if its tier has one.
    pub overload: Option<OverloadModel>,
}

/// The [`crate::experiment::OverloadModel`] drawn for one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct OverloadModel {
    /// Requests in flight per core at which it counts as overloaded.
    pub at: f64,
    /// It slows down after being overloaded for this long.
    pub over: Millis,
    /// Slowdown factor.
    pub slower: f64,
    /// It recovers after being mostly idle for this long.
    pub rest: Millis,
    /// Requests in flight per core below which it counts as mostly idle.
    pub below: f64,
    /// Maximum duration of the slowdown.
    pub most: Millis,
}

/// A balancer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Balancer {
    /// Its name.
    pub name: String,
    /// Index of its zone.
    pub zone: usize,
    /// Index of the tier that it sends requests to.
    pub tier: usize,
    /// Its index among the balancers of that tier.
    pub index: usize,
    /// The upstream that it is co-located with; none for a front balancer.
    pub owner: Option<usize>,
    /// Index of the build that it starts with; none for the program under test.
    pub build: Option<usize>,
}

/// A client request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Arrival {
    /// When it is due.
    pub at: Millis,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Index of the client's zone.
    pub zone: usize,
    /// Its work relative to its class.
    pub size: f64,
    /// Timeout of each attempt as a fraction of the deadline.
    pub try_share: f64,
    /// Backoff before the first retry.
    pub backoff: Millis,
    /// Whether the client honours `Retry-After`.
    pub honours: bool,
    /// Fraction of the attempt timeout after which the client abandons the first attempt, if it does.
    pub abandons_after: Option<f64>,
    /// Seed of the draws for its calls.
    pub seed: u64,
}

/// A possible target of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Party {
    /// The clients of a zone.
    Clients(usize),
    /// A balancer.
    Balancer(usize),
    /// An upstream.
    Upstream(usize),
    /// A balancer's discovery agent.
    Agent(usize),
}

/// A fault with its time and targets.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlannedFault {
    /// Its kind.
    pub kind: FaultKind,
    /// Start.
    pub at: Millis,
    /// End.
    pub until: Millis,
    /// Targets.
    pub on: Vec<Party>,
    /// The other side of a partition.
    pub to: Vec<Party>,
    /// Whether only the direction from `on` to `to` is blocked.
    pub one_way: bool,
    /// Magnitude.
    pub size: f64,
    /// Range of the delay of datagrams, disk accesses or returning clients.
    pub delay: Option<(Millis, Millis)>,
    /// Damage to state folders.
    pub state: Option<Damage>,
    /// Index of the build that balancers are upgraded to; none for the program under test.
    pub build: Option<usize>,
    /// Time between two balancers of an upgrade.
    #[serde(rename = "pace")]
    pub step_interval: Millis,
    /// The requests of a burst: indices of a tenant, a class and a zone.
    pub of: [Option<usize>; 3],
}

/// Everything about a run that is determined before it starts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// How long clients send requests.
    pub length: Millis,
    /// All upstreams, ordered by tier.
    pub upstreams: Vec<Upstream>,
    /// All balancers: front balancers, then those co-located with upstreams.
    pub balancers: Vec<Balancer>,
    /// All requests, ordered by time.
    pub arrivals: Vec<Arrival>,
    /// All faults, in the order of the experiment file.
    pub faults: Vec<PlannedFault>,
    /// One-way delay within a zone.
    pub same_zone: Millis,
    /// One-way delay between each pair of zones.
    pub cross_zone: Vec<Vec<Millis>>,
    /// Quota of each tenant, in client requests per second.
    pub quotas: Vec<f64>,
    /// Mean number of calls into each tier per client request.
    pub calls: Vec<f64>,
    /// Capacity of each tier after slow start, in client requests per second.
    pub capacity: Vec<f64>,
    /// Latency target and deadline of each class.
    pub spans: Vec<(Millis, Millis)>,
}

impl Plan {
    /// Returns the longest deadline of any class.
    pub fn longest(&self) -> Millis {
        self.spans.iter().map(|s| s.1).fold(0.0, f64::max)
    }
}
