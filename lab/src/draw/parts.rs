//! What a plan is made of.
use crate::experiment::{Damage, FaultKind, Millis};
use serde::Serialize;

/// One upstream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Upstream {
    /// Its id in discovery.
    pub name: String,
    /// Position of its tier.
    pub tier: usize,
    /// Position of its zone.
    pub zone: usize,
    /// Position of its kind within the tier.
    pub kind: usize,
    /// Its cell, over the whole tier.
    pub cell: u16,
    /// Cores.
    pub cores: usize,
    /// Speed of each core.
    pub speed: f64,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that wait for a slot.
    pub queue: usize,
    /// Part of its capacity when it starts.
    pub slow_start_from: f64,
    /// Time until it is warm.
    pub slow_start_time: Millis,
    /// Part of requests answered with an error.
    pub errors: f64,
    /// Whether a cancel stops work that runs.
    pub cancel_stops: bool,
    /// Most connections.
    pub connections: usize,
    /// Round trips before the first request of a connection is read.
    pub round_trips: f64,
    /// Work of a new connection, in milliseconds of a core.
    pub connection_work: f64,
    /// Part of the capacity that a full table of connections takes.
    pub full_tax: f64,
    /// How often load reports are taken anew.
    pub report_period: Millis,
    /// How long after that they show.
    pub report_delay: Millis,
    /// When and how it gets slow, if its tier does.
    pub overload: Option<OverloadModel>,
}

/// [`crate::experiment::OverloadModel`], drawn for one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct OverloadModel {
    /// Requests held for each core.
    pub at: f64,
    /// Time until it gets slow.
    pub over: Millis,
    /// Times slower.
    pub slower: f64,
    /// Time mostly idle until it recovers.
    pub rest: Millis,
    /// Requests for each core that count as idle.
    pub below: f64,
    /// It recovers at the latest after this.
    pub most: Millis,
}

/// One balancer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Balancer {
    /// Its name.
    pub name: String,
    /// Position of its zone.
    pub zone: usize,
    /// Position of the tier it sends into.
    pub tier: usize,
    /// Its number among the balancers of that tier.
    pub index: usize,
    /// The upstream that it stands beside; none at the front.
    pub owner: Option<usize>,
    /// The build that it starts as, by position; none is the program under test.
    pub build: Option<usize>,
}

/// One request, as its client means it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Arrival {
    /// When it is due.
    pub at: Millis,
    /// Position of its class.
    pub class: usize,
    /// Position of its tenant.
    pub tenant: usize,
    /// Position of the zone that its client is in.
    pub zone: usize,
    /// Its work relative to its class.
    pub size: f64,
    /// Part of the deadline after which a try is given up.
    pub try_share: f64,
    /// The first pause before another try.
    pub backoff: Millis,
    /// Whether the client heeds `Retry-After`.
    pub honours: bool,
    /// The client leaves after this part of its try, if it leaves early.
    pub abandons_after: Option<f64>,
    /// Feeds what is drawn for its calls.
    pub seed: u64,
}

/// Someone a fault can meet.
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

/// A fault with its time and whom it meets.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlannedFault {
    /// What.
    pub kind: FaultKind,
    /// From.
    pub at: Millis,
    /// To.
    pub until: Millis,
    /// Whom it meets.
    pub on: Vec<Party>,
    /// The other side of a cut.
    pub to: Vec<Party>,
    /// Only from `on` to `to`.
    pub one_way: bool,
    /// How much.
    pub size: f64,
    /// The time that datagrams take, or an access to a disk longer.
    pub delay: Option<(Millis, Millis)>,
    /// What happens to state folders.
    pub state: Option<Damage>,
    /// The build that balancers are from then on; none is the program under test.
    pub build: Option<usize>,
    /// The time from one balancer to the next.
    pub pace: Millis,
    /// Whose requests: positions of a tenant, a class and a zone.
    pub of: [Option<usize>; 3],
}

/// All of a run that is known before it starts.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// How long clients send.
    pub length: Millis,
    /// All upstreams, tier by tier.
    pub upstreams: Vec<Upstream>,
    /// All balancers: the front, then those beside upstreams.
    pub balancers: Vec<Balancer>,
    /// All requests, in order of time.
    pub arrivals: Vec<Arrival>,
    /// All faults, in the order of the file.
    pub faults: Vec<PlannedFault>,
    /// One way between machines of a zone.
    pub same_zone: Millis,
    /// One way between each pair of zones.
    pub cross_zone: Vec<Vec<Millis>>,
    /// Requests a second that each tenant's quota allows, for clients' requests.
    pub quotas: Vec<f64>,
    /// Mean calls into each tier for one client's request.
    pub calls: Vec<f64>,
    /// Client requests a second that each tier could serve, all its machines warm.
    pub capacity: Vec<f64>,
    /// Aim and deadline of each class.
    pub spans: Vec<(Millis, Millis)>,
}

impl Plan {
    /// The longest deadline of any class.
    pub fn longest(&self) -> Millis {
        self.spans.iter().map(|s| s.1).fold(0.0, f64::max)
    }
}
