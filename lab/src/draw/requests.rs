//! Draws all client requests.
use super::error::PlanError;
use super::parts::{Arrival, PlannedFault};
use super::streams::{draw, draw_span, pick, stream, Stream};
use crate::experiment::{Experiment, FaultKind, Millis, Range, Tenant};
use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

/// Coefficient of variation of the work of requests of one class.
const WORK_VARIATION: f64 = 0.5;

/// Maximum number of requests of a run; beyond it the lab itself would run out of memory or time.
const MAX_REQUESTS: usize = 2_000_000;

/// Distributions from which requests are drawn: weights of classes, tenants and zones, and sizes.
struct Demand<'a> {
    experiment: &'a Experiment,
    works: &'a [f64],
    classes: Vec<f64>,
    usage: Vec<f64>,
    zones: Vec<f64>,
    size: LogNormal<f64>,
}

impl<'a> Demand<'a> {
    /// Returns the demand restricted to a tenant, class and zone, and its fraction of the total.
    fn restricted_to(&self, [tenant, class, zone]: [Option<usize>; 3]) -> (Demand<'a>, f64) {
        let only = |weights: &[f64], at: Option<usize>| {
            let is_selected = |i: usize| at.is_none_or(|at| at == i);
            let some: Vec<f64> = weights
                .iter()
                .enumerate()
                .map(|(i, w)| if is_selected(i) { *w } else { 0.0 })
                .collect();
            let part = some.iter().sum::<f64>() / weights.iter().sum::<f64>();
            (some, part)
        };
        let (usage, a) = only(&self.usage, tenant);
        let (classes, b) = only(&self.classes, class);
        let (zones, c) = only(&self.zones, zone);
        (
            Demand {
                experiment: self.experiment,
                works: self.works,
                classes,
                usage,
                zones,
                size: self.size,
            },
            a * b * c,
        )
    }

    /// Draws requests with exponentially distributed intervals at a constant mean rate.
    fn requests(
        &self,
        rng: &mut Pcg64Mcg,
        rate: f64,
        from: Millis,
        to: Millis,
    ) -> Result<Vec<Arrival>, PlanError> {
        let gap = Exp::new(rate / 1000.0)?;
        let clients = &self.experiment.clients;
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
                abandons_after: Some(rng.gen::<f64>())
                    .filter(|_| rng.gen::<f64>() < clients.impatient),
                seed: rng.gen(),
            });
        }
    }
}

/// Rates in requests per second.
pub(super) struct Rates {
    /// All tenants without their own rate.
    pub shared: f64,
    /// Capacity of the weakest tier.
    pub weakest: f64,
}

pub(super) fn draw_requests(
    e: &Experiment,
    seed: u64,
    rates: Rates,
    length: Millis,
    works: &[f64],
    faults: &[PlannedFault],
) -> Result<Vec<Arrival>, PlanError> {
    let rng = &mut stream(seed, Stream::Requests);
    let rate = rates.shared;
    let bursts = || faults.iter().filter(|f| f.kind == FaultKind::Burst);
    let expected = rate * length
        + bursts()
            .map(|f| rate * f.size * (f.until - f.at))
            .sum::<f64>();
    if expected / 1000.0 > MAX_REQUESTS as f64 {
        return Err(PlanError::TooManyRequests { rate, length });
    }
    let skew = Range {
        least: 1.0 - e.fleet.skew,
        most: 1.0 + e.fleet.skew,
    };
    let sigma = (1.0 + WORK_VARIATION * WORK_VARIATION).ln().sqrt();
    let own = |t: &Tenant| t.rate.is_some() || t.load.is_some();
    // A tenant with its own rate draws nothing from this stream, so that the other tenants do not depend on it.
    let mut usage = |t: &Tenant| match own(t) {
        true => 0.0,
        false => t.share * draw(rng, t.usage),
    };
    let usage = e.tenants.iter().map(&mut usage).collect();
    let demand = Demand {
        experiment: e,
        works,
        classes: e.classes.iter().map(|c| c.share).collect(),
        usage,
        zones: e.fleet.zones.iter().map(|_| draw(rng, skew)).collect(),
        size: LogNormal::new(-sigma * sigma / 2.0, sigma)?,
    };
    let mut arrivals = demand.requests(rng, rate, 0.0, length)?;
    for (n, tenant) in e.tenants.iter().enumerate().filter(|(_, t)| own(t)) {
        arrivals.extend(tenant_requests(
            &demand,
            seed,
            n,
            tenant,
            rates.weakest,
            length,
        )?);
    }
    for (n, burst) in bursts().enumerate() {
        // A burst draws from its own stream, so that it does not change any other request.
        let own = &mut stream(seed.wrapping_add(n as u64 + 1), Stream::Requests);
        apply_burst(&mut arrivals, &demand, burst, rate, length, own)?;
    }
    arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    for (n, outage) in faults
        .iter()
        .filter(|f| f.kind == FaultKind::Outage)
        .enumerate()
    {
        arrivals.extend(returning_requests(&arrivals, seed, n, outage));
    }
    arrivals.retain(|a| a.at < length);
    arrivals.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(arrivals)
}

/// Adds the requests of a burst, or removes a fraction of requests if its size is below 1.
fn apply_burst(
    arrivals: &mut Vec<Arrival>,
    demand: &Demand<'_>,
    burst: &PlannedFault,
    rate: f64,
    length: Millis,
    rng: &mut Pcg64Mcg,
) -> Result<(), PlanError> {
    let within = burst.at..burst.until.min(length);
    let (some, part) = demand.restricted_to(burst.of);
    if burst.size > 1.0 {
        // Tenants with their own rate have no weight here, so a burst of their requests is empty.
        if part > 0.0 {
            let more = rate * part * (burst.size - 1.0);
            arrivals.extend(some.requests(rng, more, within.start, within.end)?);
        }
        return Ok(());
    }
    let is_selected = |a: &Arrival| {
        let of = [a.tenant, a.class, a.zone].into_iter().zip(burst.of);
        within.contains(&a.at) && of.into_iter().all(|(is, of)| of.is_none_or(|of| of == is))
    };
    arrivals.retain(|a| !is_selected(a) || rng.gen::<f64>() < burst.size);
    Ok(())
}

/// Draws the requests of a tenant with its own rate from its own stream, so that other tenants do not depend on it.
fn tenant_requests(
    demand: &Demand<'_>,
    seed: u64,
    n: usize,
    tenant: &Tenant,
    weakest: f64,
    length: Millis,
) -> Result<Vec<Arrival>, PlanError> {
    let rng = &mut stream(seed, Stream::Tenant(n as u64));
    let rate = match (tenant.rate, tenant.load) {
        (Some(rate), _) => draw(rng, rate),
        (None, Some(part)) => draw(rng, part) * weakest,
        (None, None) => return Ok(Vec::new()),
    };
    let names = || demand.experiment.classes.iter().map(|c| &c.name);
    let sends = |name: &String| tenant.classes.as_ref().is_none_or(|all| all.contains(name));
    let classes = names()
        .zip(&demand.classes)
        .map(|(name, w)| if sends(name) { *w } else { 0.0 });
    let own = Demand {
        experiment: demand.experiment,
        works: demand.works,
        classes: classes.collect(),
        usage: (0..demand.experiment.tenants.len())
            .map(|t| f64::from(u8::from(t == n)))
            .collect(),
        zones: demand.zones.clone(),
        size: demand.size,
    };
    let (from, to) = tenant
        .during
        .map_or((0.0, length), |s| (s.0.least, s.0.most.min(length)));
    own.requests(rng, rate, from, to)
}

/// Draws the requests with which clients return after an outage: a fraction of those due during it.
fn returning_requests(
    arrivals: &[Arrival],
    seed: u64,
    n: usize,
    outage: &PlannedFault,
) -> Vec<Arrival> {
    let rng = &mut stream(seed, Stream::Outage(n as u64));
    let within = outage.delay.map_or(0.0, |d| d.1);
    let missed = arrivals
        .iter()
        .filter(|a| (outage.at..outage.until).contains(&a.at));
    let mut returning = Vec::new();
    for a in missed {
        let (is_selected, later, seed) = (
            rng.gen::<f64>() < outage.size,
            rng.gen::<f64>() * within,
            rng.gen(),
        );
        if is_selected {
            returning.push(Arrival {
                at: outage.until + later,
                seed,
                abandons_after: None,
                ..a.clone()
            });
        }
    }
    returning
}
