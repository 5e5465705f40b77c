//! A trial: starts the balancers and their environment, waits until they are stable, and measures for a span of time.
use super::accounting::Usage;
use super::balancer::{Balancer, Location};
use super::clients::Clients;
use super::discovery::{Discovery, Traffic, ZONES};
use super::error::CapacityError;
use super::hollow::{learn_deployment, Running, Snapshot, Tier};
use super::sample::Sample;
use super::scenario::Scenario;
use super::upstreams::Upstreams;
use crate::error::BindError;
use crate::net::Block;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Maximum number of listening upstreams. Scenarios with longer lists send no requests.
const MAX_LISTENING: usize = 8;
/// Time between the start and the measurement.
const STABILIZATION_TIME: Duration = Duration::from_secs(2);
/// The same for a tier, which takes longer until all members know each other.
const TIER_STABILIZATION_TIME: Duration = Duration::from_secs(6);
/// Members of the tier of which some are lost: one balancer per upstream of the target deployment.
const TARGET_MEMBERS: usize = 550;
/// How long the real member may take to send its first datagram.
const FIRST_DATAGRAM_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long it may take until all members know of a change, or until all calls are in flight.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(20);

/// Where and for how long a trial runs.
pub(super) struct Setting<'a> {
    pub folder: &'a Path,
    pub program: &'a Path,
    pub span: Duration,
}

/// The running components of a trial.
struct Environment {
    balancers: Vec<Balancer>,
    discovery: Arc<Discovery>,
    upstreams: Arc<Upstreams>,
    clients: Arc<Clients>,
    tier: Option<Running>,
}

/// Counters read at the start and end of the measurement.
struct Reading {
    at: Instant,
    usage: Vec<Usage>,
    discovery: Vec<Traffic>,
    served: usize,
    refused: usize,
    tier: Option<Snapshot>,
}

/// Runs a scenario with complete balancers once.
pub(super) async fn play(
    scenario: &Scenario,
    size: usize,
    setting: &Setting<'_>,
) -> Result<Sample, CapacityError> {
    let block = Block::claim()?;
    let environment = Environment::start(scenario, setting, &block).await?;
    sleep(if scenario.members.is_some() {
        TIER_STABILIZATION_TIME
    } else {
        STABILIZATION_TIME
    })
    .await;
    let before = environment.read()?;
    environment.run_span(scenario, setting.span).await;
    let after = environment.read()?;
    wait_until(|| environment.discovery.outstanding() == 0).await;
    let mut sample = Sample::new(size);
    environment.record(scenario, &before, &after, &mut sample);
    for balancer in environment.balancers {
        balancer.stop().await?;
    }
    Ok(sample)
}

/// Waits until a condition holds or the propagation timeout expires.
async fn wait_until(condition: impl Fn() -> bool) {
    let end = Instant::now() + PROPAGATION_TIMEOUT;
    while !condition() && Instant::now() < end {
        sleep(POLL_INTERVAL).await;
    }
}

impl Environment {
    async fn start(
        scenario: &Scenario,
        setting: &Setting<'_>,
        block: &Block,
    ) -> Result<Environment, CapacityError> {
        let discovery = Discovery::start(block, scenario.upstreams, scenario.balancers).await?;
        let listening = scenario.upstreams.min(MAX_LISTENING);
        let upstreams = Upstreams::start(block, listening, scenario.calls_in_flight > 0).await?;
        let addresses: Vec<SocketAddr> = (0..scenario.members.unwrap_or(0))
            .map(|member| block.peer(member))
            .collect();
        let sockets = hollow_sockets(&addresses, scenario.balancers)?;
        let mut balancers = Vec::new();
        for number in 0..scenario.balancers {
            let location = Location {
                block,
                folder: setting.folder,
                program: setting.program,
                number,
            };
            balancers.push(Balancer::start(&location, scenario).await?);
        }
        let tier = if sockets.is_empty() {
            None
        } else {
            let deployment = learn_deployment(&sockets, FIRST_DATAGRAM_TIMEOUT)?;
            let (tenants, zones) = (scenario.tenants as u16, ZONES.len() as u16);
            let members = addresses.len() as u32;
            let tier = Tier {
                addresses,
                sockets,
                tenants,
                zones,
                deployment,
                watched: Some(0),
            }
            .start()?;
            tokio::task::block_in_place(|| tier.wait_until_up(members, PROPAGATION_TIMEOUT))?;
            Some(tier)
        };
        let clients = Clients::new(block.balancer(0), scenario.tenants);
        clients.open_idle(scenario.clients).await?;
        clients
            .start_calls_in_flight(scenario.calls_in_flight)
            .await;
        wait_until(|| {
            let refused = clients.refused.load(Ordering::SeqCst);
            upstreams.calls_in_flight.load(Ordering::SeqCst) + refused >= scenario.calls_in_flight
        })
        .await;
        if scenario.requests > 0.0 {
            clients.send_at_rate(scenario.requests);
        }
        Ok(Environment {
            balancers,
            discovery,
            upstreams,
            clients,
            tier,
        })
    }

    /// Waits for the span of the measurement and makes the scheduled changes of the list.
    async fn run_span(&self, scenario: &Scenario, span: Duration) {
        let start = Instant::now();
        let changes = (scenario.changes * span.as_secs_f64()) as u32;
        for change in 0..changes {
            tokio::time::sleep_until(start + span * change / changes).await;
            self.discovery.change();
        }
        tokio::time::sleep_until(start + span).await;
    }

    fn read(&self) -> Result<Reading, CapacityError> {
        Ok(Reading {
            at: Instant::now(),
            usage: self
                .balancers
                .iter()
                .map(Balancer::usage)
                .collect::<Result<_, _>>()?,
            discovery: (0..self.balancers.len())
                .map(|balancer| self.discovery.traffic(balancer))
                .collect(),
            served: self.clients.served.load(Ordering::SeqCst),
            refused: self.clients.refused.load(Ordering::SeqCst),
            tier: self.tier.as_ref().map(Running::snapshot).transpose()?,
        })
    }

    /// Adds metrics of the change between two readings to a sample, averaged over the balancers.
    fn record(&self, scenario: &Scenario, before: &Reading, after: &Reading, sample: &mut Sample) {
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let count = after.usage.len() as f64;
        let rate = |of: &dyn Fn(&Usage) -> u64| {
            let increases = before
                .usage
                .iter()
                .zip(&after.usage)
                .map(|(b, a)| of(a).saturating_sub(of(b)));
            increases.sum::<u64>() as f64 / count / seconds
        };
        let mean =
            |of: &dyn Fn(&Usage) -> u64| after.usage.iter().map(of).sum::<u64>() as f64 / count;
        sample.add("processor, ms/s", rate(&|usage| usage.processor_ns) / 1e6);
        sample.add("resident, kB", mean(&|usage| usage.resident_kb));
        sample.add("proportional, kB", mean(&|usage| usage.proportional_kb));
        sample.add("descriptors", mean(&|usage| usage.descriptors));
        let discovery_rate = |of: &dyn Fn(&Traffic) -> u64| {
            let increases = before
                .discovery
                .iter()
                .zip(&after.discovery)
                .map(|(b, a)| of(a) - of(b));
            increases.sum::<u64>() as f64 / count / seconds
        };
        sample.add(
            "discovery, calls/s",
            discovery_rate(&|traffic| traffic.calls),
        );
        sample.add(
            "discovery, bytes/s",
            discovery_rate(&|traffic| traffic.bytes_in + traffic.bytes_out),
        );
        if scenario.persisted {
            sample.add("written, bytes/s", rate(&|usage| usage.written));
        }
        if scenario.requests > 0.0 {
            sample.add(
                "served, 1/s",
                (after.served - before.served) as f64 / seconds,
            );
        }
        if scenario.requests > 0.0 || scenario.calls_in_flight > 0 {
            sample.add("refused", after.refused as f64);
        }
        if scenario.calls_in_flight > 0 {
            sample.add(
                "held",
                self.upstreams.calls_in_flight.load(Ordering::SeqCst) as f64,
            );
        }
        if scenario.changes > 0.0 {
            let (mut each, mut last) = self.discovery.lags();
            sample.add_times("taken in by one", &mut each);
            sample.add_times("taken in by all", &mut last);
            sample.add("not taken in", self.discovery.outstanding() as f64);
        }
        if let (Some(before), Some(after)) = (&before.tier, &after.tier) {
            record_watched(before, after, sample);
        }
    }
}

/// Adds metrics of the datagrams between the real member and the hollow ones, as counted by the hollow ones.
fn record_watched(before: &Snapshot, after: &Snapshot, sample: &mut Sample) {
    let seconds = after.at.saturating_sub(before.at).as_secs_f64();
    let rate = |after: u64, before: u64| after.saturating_sub(before) as f64 / seconds;
    sample.add(
        "peers, sent datagrams/s",
        rate(after.from_watched.0, before.from_watched.0),
    );
    sample.add(
        "peers, sent bytes/s",
        rate(after.from_watched.1, before.from_watched.1),
    );
    sample.add(
        "peers, read datagrams/s",
        rate(after.to_watched.0, before.to_watched.0),
    );
    sample.add(
        "peers, read bytes/s",
        rate(after.to_watched.1, before.to_watched.1),
    );
    sample.add("up, least known", f64::from(after.min_up));
}

/// Binds sockets for all members after the first `real` ones.
fn hollow_sockets(
    addresses: &[SocketAddr],
    real: usize,
) -> Result<Vec<(u16, UdpSocket)>, BindError> {
    let members = (0u16..).zip(addresses).skip(real);
    members
        .map(|(member, at)| {
            let socket = UdpSocket::bind(at).map_err(BindError::at(*at))?;
            Ok((member, socket))
        })
        .collect()
}

/// Starts a fully hollow tier.
fn hollow_tier(block: &Block, size: usize, tenants: u16) -> Result<Running, CapacityError> {
    let addresses: Vec<SocketAddr> = (0..size).map(|member| block.peer(member)).collect();
    let sockets = hollow_sockets(&addresses, 0)?;
    let zones = ZONES.len() as u16;
    Tier {
        addresses,
        sockets,
        tenants,
        zones,
        deployment: 1,
        watched: None,
    }
    .start()
}

/// Converts to milliseconds. None becomes NaN, which samples leave out.
fn milliseconds(took: Option<Duration>) -> f64 {
    took.map_or(f64::NAN, |took| took.as_secs_f64() * 1000.0)
}

/// Measures a fully hollow tier: its steady traffic, the propagation of evidence, and the loss of a member.
pub(super) fn play_hollow(
    size: usize,
    tenants: u16,
    span: Duration,
) -> Result<Sample, CapacityError> {
    let block = Block::claim()?;
    let tier = hollow_tier(&block, size, tenants)?;
    let count = u32::try_from(size)?;
    let mut sample = Sample::new(size);
    sample.add(
        "all know all, ms",
        milliseconds(tier.wait_until_up(count, PROPAGATION_TIMEOUT)?),
    );
    std::thread::sleep(TIER_STABILIZATION_TIME);
    let before = tier.snapshot()?;
    std::thread::sleep(span);
    let after = tier.snapshot()?;
    record_hollow(&before, &after, size, &mut sample);
    sample.add(
        "evidence known to all, ms",
        milliseconds(tier.wait_for_evidence(0, PROPAGATION_TIMEOUT)?),
    );
    tier.stop(size / 2)?;
    let known = tier.wait_until_up(count.saturating_sub(1), PROPAGATION_TIMEOUT)?;
    sample.add("an end known to all, ms", milliseconds(known));
    Ok(sample)
}

/// Measures the simultaneous loss of members, evenly distributed over the list, in a hollow tier of the target size.
pub(super) fn play_loss(lost: usize, tenants: u16) -> Result<Sample, CapacityError> {
    let block = Block::claim()?;
    let tier = hollow_tier(&block, TARGET_MEMBERS, tenants)?;
    let count = u32::try_from(TARGET_MEMBERS)?;
    let remaining = u32::try_from(TARGET_MEMBERS.saturating_sub(lost))?;
    tier.wait_until_up(count, PROPAGATION_TIMEOUT)?;
    std::thread::sleep(TIER_STABILIZATION_TIME);
    for number in 0..lost {
        tier.stop(number * TARGET_MEMBERS / lost)?;
    }
    let before = tier.snapshot()?;
    let known = tier.wait_until_up(remaining, PROPAGATION_TIMEOUT)?;
    let after = tier.snapshot()?;
    let mut sample = Sample::new(lost);
    let seconds = after.at.saturating_sub(before.at).as_secs_f64();
    sample.add("loss known to all, ms", milliseconds(known));
    sample.add("up at the end, mean", after.up_mean);
    sample.add("up at the end, least", f64::from(after.min_up));
    sample.add(
        "late at the most, ms",
        after.max_lateness.as_secs_f64() * 1000.0,
    );
    sample.add("up in truth", f64::from(remaining));
    let sent = (after.sent_bytes - before.sent_bytes) as f64;
    sample.add(
        "sent meanwhile, bytes/s a member",
        sent / seconds / f64::from(remaining),
    );
    Ok(sample)
}

fn record_hollow(before: &Snapshot, after: &Snapshot, size: usize, sample: &mut Sample) {
    let seconds = (after.at - before.at).as_secs_f64();
    let processor = (after.processor - before.processor).as_secs_f64();
    let each = |after: u64, before: u64| (after - before) as f64 / seconds / size as f64;
    let datagrams = (after.sent - before.sent + after.read - before.read) as f64;
    sample.add("sent, datagrams/s", each(after.sent, before.sent));
    sample.add("sent, bytes/s", each(after.sent_bytes, before.sent_bytes));
    sample.add("read, datagrams/s", each(after.read, before.read));
    sample.add("read, bytes/s", each(after.read_bytes, before.read_bytes));
    sample.add(
        "late at the most, ms",
        after.max_lateness.as_secs_f64() * 1000.0,
    );
    sample.add("unsent", (after.unsent - before.unsent) as f64);
    sample.add(
        "processor a member, ms/s",
        processor * 1000.0 / seconds / size as f64,
    );
    sample.add("processor a datagram, us", processor * 1e6 / datagrams);
    sample.add("members in sums, mean", after.summed_mean);
    sample.add("members with sums", after.with_sums as f64);
    sample.add("up, least known", f64::from(after.min_up));
}
