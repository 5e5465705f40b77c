//! What a seed makes of an experiment: the machines, every request, every fault. Nothing here looks at a clock or
//! at the machine it runs on, so that one seed gives the same draw anywhere.
//!
//! Each part draws from a stream of its own: another fault, or one more upstream, leaves the requests as they were.
use crate::experiment::{Damage, Experiment, FaultKind, Kind, Millis, Range, Role, Span, Target};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

/// How unequal the work of requests of one class is (coefficient of variation).
const WORK_VARIES: f64 = 0.5;
/// How unequal the work of the calls of one request is.
const CALL_VARIES: f64 = 0.2;
/// Requests that one run may have: beyond it the lab's own memory and time are the limit.
const REQUESTS_MOST: usize = 2_000_000;

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
    pub cold_from: f64,
    /// Time until it is warm.
    pub cold_for: Millis,
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
    pub choke: Option<Choke>,
}

/// [`crate::experiment::Choke`], drawn for one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Choke {
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
    pub leaves: Option<f64>,
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

/// The streams of random numbers.
#[derive(Clone, Copy)]
enum Stream {
    Machines = 1,
    Net,
    Load,
    Requests,
    Faults,
}

fn stream(seed: u64, of: Stream) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (of as u64) << 56)
}

fn draw(rng: &mut Pcg64Mcg, range: Range) -> f64 {
    // Drawn even where the range is a point, so that an edit of one figure leaves the draws after it alone.
    let unit: f64 = rng.gen();
    range.least + unit * (range.most - range.least)
}

fn draw_span(rng: &mut Pcg64Mcg, span: Span) -> Millis {
    draw(rng, span.0)
}

/// Draws a plan. The error says what the figures together do not allow.
pub fn plan(e: &Experiment, seed: u64) -> Result<Plan, String> {
    let machines = &mut stream(seed, Stream::Machines);
    let mut upstreams: Vec<Upstream> = Vec::new();
    for t in 0..e.tiers.len() {
        draw_tier(e, t, machines, &mut upstreams);
    }
    let balancers = balancers(e, &upstreams);

    let net = &mut stream(seed, Stream::Net);
    let same_zone = draw_span(net, e.net.same_zone);
    let mut cross_zone = vec![vec![same_zone; e.fleet.zones.len()]; e.fleet.zones.len()];
    let pairs = (0..e.fleet.zones.len()).flat_map(|a| (0..a).map(move |b| (a, b)));
    for (a, b) in pairs {
        let apart = match (e.fleet.region(a), e.fleet.region(b)) {
            (Some(a), Some(b)) => a != b,
            _ => false,
        };
        let span = draw_span(net, if apart { e.net.cross_region } else { e.net.cross_zone });
        (cross_zone[a][b], cross_zone[b][a]) = (span, span);
    }

    let load = &mut stream(seed, Stream::Load);
    let mut calls = vec![1.0];
    for tier in &e.tiers[..e.tiers.len() - 1] {
        let mean = draw(load, tier.calls);
        calls.push(calls[calls.len() - 1] * mean);
    }
    let shares: f64 = e.classes.iter().map(|c| c.share).sum();
    let works: Vec<f64> = e.classes.iter().map(|c| draw(load, c.work)).collect();
    let mean_work: f64 = e.classes.iter().zip(&works).map(|(c, w)| c.share / shares * w).sum();
    let capacity: Vec<f64> = (0..e.tiers.len())
        .map(|t| {
            let speed: f64 = upstreams.iter().filter(|u| u.tier == t).map(|u| u.cores as f64 * u.speed).sum();
            speed * 1000.0 / (mean_work * e.tiers[t].work * calls[t])
        })
        .collect();
    let weakest = capacity.iter().copied().fold(f64::INFINITY, f64::min);
    let rate = match (e.clients.rate, e.clients.load) {
        (Some(rate), _) => draw(load, rate),
        (None, Some(part)) => draw(load, part) * weakest,
        (None, None) => return Err("clients: neither rate nor load".into()),
    };
    let quota = draw(load, e.clients.quota) * weakest;
    let tenant_shares: f64 = e.tenants.iter().map(|t| t.share).sum();
    let quotas = e.tenants.iter().map(|t| quota * t.share / tenant_shares).collect();
    let spans = e
        .classes
        .iter()
        .map(|c| {
            let aim = draw_span(load, c.aim);
            (aim, draw_span(load, c.deadline).max(aim))
        })
        .collect();
    let length = draw_span(load, e.length);

    let faults = draw_faults(e, seed, &upstreams, &balancers, length);
    let bursts: Vec<&PlannedFault> = faults.iter().filter(|f| f.kind == FaultKind::Burst).collect();
    let arrivals = draw_requests(e, seed, rate, length, &works, &bursts)?;
    Ok(Plan {
        seed,
        length,
        upstreams,
        balancers,
        arrivals,
        faults,
        same_zone,
        cross_zone,
        quotas,
        calls,
        capacity,
        spans,
    })
}

fn draw_tier(e: &Experiment, t: usize, rng: &mut Pcg64Mcg, upstreams: &mut Vec<Upstream>) {
    let (tier, zones) = (&e.tiers[t], e.fleet.zones.len());

    let mut in_zone = vec![0usize; zones];
    for (n, kind) in deal(&tier.kinds, tier.upstreams).into_iter().enumerate() {
        let zone = n % zones;
        // Cells never span zones: each zone's are numbered apart.
        let cell = (in_zone[zone] / tier.cell) * zones + zone;
        in_zone[zone] += 1;

        let k = &tier.kinds[kind];
        let c = &tier.connections;
        upstreams.push(Upstream {
            name: format!("{}-{}", tier.name, n + 1),
            tier: t,
            zone,
            kind,
            cell: u16::try_from(cell + 1).unwrap_or(u16::MAX),
            cores: k.cores,
            speed: draw(rng, k.speed),
            slots: (draw(rng, k.slots) * k.cores as f64).round().max(1.0) as usize,
            queue: (draw(rng, k.queue) * k.cores as f64).round() as usize,
            cold_from: draw(rng, k.cold_from),
            cold_for: draw_span(rng, k.cold_for),
            errors: draw(rng, k.errors),
            cancel_stops: k.cancel_stops,
            connections: (draw(rng, c.cap) * k.cores as f64).round().max(1.0) as usize,
            round_trips: draw(rng, c.round_trips).round(),
            connection_work: draw(rng, c.work),
            full_tax: draw(rng, c.full_tax),
            report_period: draw_span(rng, tier.report.period).max(1.0),
            report_delay: draw_span(rng, tier.report.delay),
            choke: tier.choke.as_ref().map(|c| Choke {
                at: c.at,
                over: draw_span(rng, c.over),
                slower: draw(rng, c.slower).max(1.0),
                rest: draw_span(rng, c.rest),
                below: c.below,
                most: draw_span(rng, c.most),
            }),
        });
    }
}

/// Which kind each of `count` machines is: in proportion to the shares, and mixed over the order.
fn deal(kinds: &[Kind], count: usize) -> Vec<usize> {
    let total: f64 = kinds.iter().map(|k| k.share).sum();
    let mut dealt = vec![0.0; kinds.len()];
    (0..count)
        .map(|n| {
            let owed = |k: usize| kinds[k].share / total * (n + 1) as f64 - dealt[k];
            let next = (0..kinds.len()).max_by(|&a, &b| owed(a).total_cmp(&owed(b))).unwrap_or(0);
            dealt[next] += 1.0;
            next
        })
        .collect()
}

fn balancers(e: &Experiment, upstreams: &[Upstream]) -> Vec<Balancer> {
    let zones = e.fleet.zones.len();
    let mut all: Vec<Balancer> = (0..e.fleet.front)
        .map(|n| Balancer {
            name: format!("front-{}", n + 1),
            zone: n % zones,
            tier: 0,
            index: n,
            owner: None,
        })
        .collect();
    let mut index = vec![0; e.tiers.len() + 1];
    for (i, u) in upstreams.iter().enumerate().filter(|(_, u)| u.tier + 1 < e.tiers.len()) {
        let tier = u.tier + 1;
        all.push(Balancer {
            name: format!("beside-{}", u.name),
            zone: u.zone,
            tier,
            index: index[tier],
            owner: Some(i),
        });
        index[tier] += 1;
    }
    all
}

fn pick(rng: &mut Pcg64Mcg, weights: &[f64]) -> usize {
    let mut left = rng.gen::<f64>() * weights.iter().sum::<f64>();
    for (i, w) in weights.iter().enumerate() {
        left -= w;
        if left < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}

/// How clients are spread and what they ask for: all that the requests of a run have in common.
struct Demand<'a> {
    e: &'a Experiment,
    works: &'a [f64],
    classes: Vec<f64>,
    usage: Vec<f64>,
    zones: Vec<f64>,
    size: LogNormal<f64>,
}

impl Demand<'_> {
    /// Requests at an even rate over some time.
    fn requests(
        &self,
        rng: &mut Pcg64Mcg,
        rate: f64,
        from: Millis,
        to: Millis,
    ) -> Result<Vec<Arrival>, String> {
        let gap = Exp::new(rate / 1000.0).map_err(|e| format!("clients.rate: {e}"))?;
        let clients = &self.e.clients;
        let (mut at, mut arrivals) = (from, Vec::new());
        loop {
            at += gap.sample(rng);
            if at >= to {
                return Ok(arrivals);
            }
            let class = pick(rng, &self.classes);
            arrivals.push(Arrival {
                at,
                class,
                tenant: pick(rng, &self.usage),
                zone: pick(rng, &self.zones),
                size: self.works[class] * self.size.sample(rng),
                try_share: draw(rng, clients.try_share),
                backoff: draw_span(rng, clients.backoff),
                honours: rng.gen::<f64>() < clients.honour,
                leaves: Some(rng.gen::<f64>()).filter(|_| rng.gen::<f64>() < clients.impatient),
                seed: rng.gen(),
            });
        }
    }
}

fn draw_requests(
    e: &Experiment,
    seed: u64,
    rate: f64,
    length: Millis,
    works: &[f64],
    bursts: &[&PlannedFault],
) -> Result<Vec<Arrival>, String> {
    let rng = &mut stream(seed, Stream::Requests);
    let expected = rate * length + bursts.iter().map(|f| rate * f.size * (f.until - f.at)).sum::<f64>();
    if expected / 1000.0 > REQUESTS_MOST as f64 {
        return Err(format!(
            "clients: {rate:.0} requests a second for {:.0} s are too many",
            length / 1000.0
        ));
    }
    let skew = Range { least: 1.0 - e.fleet.skew, most: 1.0 + e.fleet.skew };
    let sigma = (1.0 + WORK_VARIES * WORK_VARIES).ln().sqrt();
    let demand = Demand {
        e,
        works,
        classes: e.classes.iter().map(|c| c.share).collect(),
        usage: e.tenants.iter().map(|t| t.share * draw(rng, t.usage)).collect(),
        zones: e.fleet.zones.iter().map(|_| draw(rng, skew)).collect(),
        size: LogNormal::new(-sigma * sigma / 2.0, sigma).map_err(|e| e.to_string())?,
    };
    let mut arrivals = demand.requests(rng, rate, 0.0, length)?;
    for (n, burst) in bursts.iter().enumerate() {
        // What a burst adds has a stream of its own, so that it moves no other request.
        let own = &mut stream(seed.wrapping_add(n as u64 + 1), Stream::Requests);
        let within = burst.at..burst.until.min(length);
        if burst.size > 1.0 {
            arrivals.extend(demand.requests(own, rate * (burst.size - 1.0), within.start, within.end)?);
        } else {
            arrivals.retain(|a| !within.contains(&a.at) || own.gen::<f64>() < burst.size);
        }
    }
    arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(arrivals)
}

fn draw_faults(
    e: &Experiment,
    seed: u64,
    upstreams: &[Upstream],
    balancers: &[Balancer],
    length: Millis,
) -> Vec<PlannedFault> {
    let everyone: Vec<Party> = (0..e.fleet.zones.len())
        .map(Party::Clients)
        .chain((0..balancers.len()).map(Party::Balancer))
        .chain((0..upstreams.len()).map(Party::Upstream))
        .chain((0..balancers.len()).map(Party::Agent))
        .collect();
    let rng = &mut stream(seed, Stream::Faults);
    let fits = |party: &Party, target: &Target| {
        let (role, zone, tier, name) = match *party {
            Party::Clients(z) => (Role::Clients, z, None, &e.fleet.zones[z]),
            Party::Balancer(b) => {
                let b = &balancers[b];
                (if b.owner.is_some() { Role::Inner } else { Role::Front }, b.zone, Some(b.tier), &b.name)
            }
            Party::Upstream(u) => {
                (Role::Upstreams, upstreams[u].zone, Some(upstreams[u].tier), &upstreams[u].name)
            }
            Party::Agent(b) => {
                (Role::Discovery, balancers[b].zone, Some(balancers[b].tier), &balancers[b].name)
            }
        };
        target.role.is_none_or(|r| r == role)
            && target.zone.as_ref().is_none_or(|z| *z == e.fleet.zones[zone])
            && target.region.as_ref().is_none_or(|r| e.fleet.region(zone) == Some(r))
            && target.tier.as_ref().is_none_or(|t| tier.is_some_and(|i| e.tiers[i].name == *t))
            && target.names.as_ref().is_none_or(|names| names.contains(name))
    };
    let members = |target: &Target, kind: FaultKind, rng: &mut Pcg64Mcg| -> Vec<Party> {
        let met = |p: &&Party| can_meet(kind, **p) && fits(p, target);
        let mut met: Vec<Party> = everyone.iter().filter(met).copied().collect();
        let kept = target.share.map_or(met.len(), |s| ((met.len() as f64 * s).round() as usize).max(1));
        while met.len() > kept {
            met.swap_remove(rng.gen_range(0..met.len()));
        }
        met.sort();
        met
    };
    let mut planned = Vec::new();
    for fault in &e.faults {
        let mut at = draw_span(rng, fault.at);
        for _ in 0..fault.times {
            let lasts = fault.lasts.map_or(0.0, |s| draw_span(rng, s));
            let size = fault.size.map_or(1.0, |s| draw(rng, s));
            let on = members(&fault.on, fault.kind, rng);
            let to = fault.to.as_ref().map(|t| members(t, fault.kind, rng)).unwrap_or_default();
            planned.push(PlannedFault {
                kind: fault.kind,
                at,
                until: (at + lasts).min(length + 60_000.0),
                on,
                to,
                one_way: fault.one_way,
                size,
                delay: fault.delay.map(|s| (s.0.least, s.0.most)),
                state: fault.state,
            });
            at += fault.every.map_or(0.0, |s| draw_span(rng, s));
        }
    }
    planned
}

/// Whether this kind of fault means anything to this party.
fn can_meet(kind: FaultKind, party: Party) -> bool {
    use FaultKind::*;
    match kind {
        Kill | PowerLoss | Terminate | Pause | DiskFull | DiskFailing | DiskSlow => {
            matches!(party, Party::Balancer(_))
        }
        Cut => true,
        Slow | Errors | Die | Lose | Replace | Reset => matches!(party, Party::Upstream(_)),
        Burst | DatagramLoss | DatagramRepeat | DatagramDelay => false,
        DiscoverySilent | DiscoveryGarbled | DiscoveryStale | DiscoveryMove => {
            matches!(party, Party::Agent(_))
        }
    }
}

/// What is drawn for the calls of one request into one tier: how many, and how much work each is.
pub struct Calls {
    rng: Pcg64Mcg,
}

impl Calls {
    /// For the request that was drawn with this seed, at this place of its tree of calls.
    pub fn new(seed: u64) -> Calls {
        Calls { rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// Calls to the next tier, for this mean.
    pub fn count(&mut self, mean: f64) -> usize {
        let whole = mean.floor();
        whole as usize + usize::from(self.rng.gen::<f64>() < mean - whole)
    }

    /// Noise on the work of one attempt.
    pub fn noise(&mut self) -> f64 {
        1.0 + CALL_VARIES * (2.0 * self.rng.gen::<f64>() - 1.0)
    }

    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        self.rng.gen()
    }

    /// Seed for one call further down.
    pub fn seed(&mut self) -> u64 {
        self.rng.gen()
    }

    /// True with this probability.
    pub fn chance(&mut self, p: f64) -> bool {
        self.rng.gen::<f64>() < p
    }
}
