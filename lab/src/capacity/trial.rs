//! One trial: everything around the balancers is started, they settle, and a span of time is measured.
use super::accounting::Usage;
use super::balancer::{Balancer, Place};
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

/// Upstreams that listen: requests go nowhere else, since longer lists are measured without any.
const LISTENING_MOST: usize = 8;
/// Between the start and the measured span.
const STABILIZATION_TIME: Duration = Duration::from_secs(2);
/// A tier needs longer until all have met.
const TIER_STABILIZATION_TIME: Duration = Duration::from_secs(6);
/// Members of the tier of which some are lost: a balancer beside each of the target's upstreams.
const TARGET_MEMBERS: usize = 550;
/// How long the real member may take until its first datagram.
const FIRST_DATAGRAM: Duration = Duration::from_secs(5);
/// The pause between two looks whether something is so.
const LOOK_PAUSE: Duration = Duration::from_millis(10);
/// How long it may take until all know of a change, or until all calls are held.
const KNOWN_WITHIN: Duration = Duration::from_secs(20);

/// Where and for how long it is played.
pub(super) struct Setting<'a> {
    pub folder: &'a Path,
    pub program: &'a Path,
    pub span: Duration,
}

/// Everything that has been started.
struct Stage {
    balancers: Vec<Balancer>,
    discovery: Arc<Discovery>,
    upstreams: Arc<Upstreams>,
    clients: Arc<Clients>,
    tier: Option<Running>,
}

/// What is read at both ends of the span.
struct Reading {
    at: Instant,
    usage: Vec<Usage>,
    discovery: Vec<Traffic>,
    served: usize,
    refused: usize,
    tier: Option<Snapshot>,
}

/// Plays a scenario with whole balancers once.
pub(super) async fn play(
    scenario: &Scenario,
    size: usize,
    setting: &Setting<'_>,
) -> Result<Sample, CapacityError> {
    let block = Block::claim()?;
    let stage = Stage::start(scenario, setting, &block).await?;
    sleep(if scenario.members.is_some() {
        TIER_STABILIZATION_TIME
    } else {
        STABILIZATION_TIME
    })
    .await;
    let before = stage.read()?;
    stage.pass(scenario, setting.span).await;
    let after = stage.read()?;
    wait_until(|| stage.discovery.outstanding() == 0).await;
    let mut sample = Sample::new(size);
    stage.put(scenario, &before, &after, &mut sample);
    for balancer in stage.balancers {
        balancer.stop().await?;
    }
    Ok(sample)
}

/// Waits until something is so, for as long as a trial may wait for it.
async fn wait_until(holds: impl Fn() -> bool) {
    let end = Instant::now() + KNOWN_WITHIN;
    while !holds() && Instant::now() < end {
        sleep(LOOK_PAUSE).await;
    }
}

impl Stage {
    async fn start(
        scenario: &Scenario,
        setting: &Setting<'_>,
        block: &Block,
    ) -> Result<Stage, CapacityError> {
        let discovery = Discovery::start(block, scenario.upstreams, scenario.balancers).await?;
        let listening = scenario.upstreams.min(LISTENING_MOST);
        let upstreams = Upstreams::start(block, listening, scenario.calls_in_flight > 0).await?;
        let addresses: Vec<SocketAddr> = (0..scenario.members.unwrap_or(0))
            .map(|member| block.peer(member))
            .collect();
        let sockets = hollow_sockets(&addresses, scenario.balancers)?;
        let mut balancers = Vec::new();
        for number in 0..scenario.balancers {
            let place = Place {
                block,
                folder: setting.folder,
                program: setting.program,
                number,
            };
            balancers.push(Balancer::start(&place, scenario).await?);
        }
        let tier = if sockets.is_empty() {
            None
        } else {
            let deployment = learn_deployment(&sockets, FIRST_DATAGRAM)?;
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
            tokio::task::block_in_place(|| tier.until_up(members, KNOWN_WITHIN))?;
            Some(tier)
        };
        let clients = Clients::new(block.balancer(0), scenario.tenants);
        clients.rest(scenario.clients).await?;
        clients.hold(scenario.calls_in_flight).await;
        wait_until(|| {
            let refused = clients.refused.load(Ordering::SeqCst);
            upstreams.calls_in_flight.load(Ordering::SeqCst) + refused >= scenario.calls_in_flight
        })
        .await;
        if scenario.requests > 0.0 {
            clients.ask_steadily(scenario.requests);
        }
        Ok(Stage {
            balancers,
            discovery,
            upstreams,
            clients,
            tier,
        })
    }

    /// Lets the span pass, with the changes that belong to it.
    async fn pass(&self, scenario: &Scenario, span: Duration) {
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

    /// Puts what happened between two readings into metrics, the mean of a balancer where there are several.
    fn put(&self, scenario: &Scenario, before: &Reading, after: &Reading, sample: &mut Sample) {
        let seconds = after.at.duration_since(before.at).as_secs_f64();
        let count = after.usage.len() as f64;
        let rate = |of: &dyn Fn(&Usage) -> u64| {
            let grown = before
                .usage
                .iter()
                .zip(&after.usage)
                .map(|(b, a)| of(a).saturating_sub(of(b)));
            grown.sum::<u64>() as f64 / count / seconds
        };
        let mean =
            |of: &dyn Fn(&Usage) -> u64| after.usage.iter().map(of).sum::<u64>() as f64 / count;
        sample.add("processor, ms/s", rate(&|usage| usage.processor_ns) / 1e6);
        sample.add("resident, kB", mean(&|usage| usage.resident_kb));
        sample.add("proportional, kB", mean(&|usage| usage.proportional_kb));
        sample.add("descriptors", mean(&|usage| usage.descriptors));
        let said = |of: &dyn Fn(&Traffic) -> u64| {
            let grown = before
                .discovery
                .iter()
                .zip(&after.discovery)
                .map(|(b, a)| of(a) - of(b));
            grown.sum::<u64>() as f64 / count / seconds
        };
        sample.add("discovery, calls/s", said(&|traffic| traffic.calls));
        sample.add(
            "discovery, bytes/s",
            said(&|traffic| traffic.bytes_in + traffic.bytes_out),
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
            put_watched(before, after, sample);
        }
    }
}

/// What the real member and the hollow ones said to each other, as the hollow ones counted it.
fn put_watched(before: &Snapshot, after: &Snapshot, sample: &mut Sample) {
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
    sample.add("up, least known", f64::from(after.up_least));
}

/// Sockets for all members but the first few, which are real.
fn hollow_sockets(
    addresses: &[SocketAddr],
    real: usize,
) -> Result<Vec<(u16, UdpSocket)>, BindError> {
    let places = (0u16..).zip(addresses).skip(real);
    places
        .map(|(place, at)| {
            let socket = UdpSocket::bind(at).map_err(BindError::at(*at))?;
            Ok((place, socket))
        })
        .collect()
}

/// A hollow tier whose members have begun to speak.
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

/// A time in milliseconds; none is not finite, so that no sample has it.
fn milliseconds(took: Option<Duration>) -> f64 {
    took.map_or(f64::NAN, |took| took.as_secs_f64() * 1000.0)
}

/// Plays a tier that is all hollow: its steady traffic, then evidence, then the end of a member.
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
        milliseconds(tier.until_up(count, KNOWN_WITHIN)?),
    );
    std::thread::sleep(TIER_STABILIZATION_TIME);
    let before = tier.snapshot()?;
    std::thread::sleep(span);
    let after = tier.snapshot()?;
    put_hollow(&before, &after, size, &mut sample);
    sample.add(
        "evidence known to all, ms",
        milliseconds(tier.until_evidence(0, KNOWN_WITHIN)?),
    );
    tier.stop(size / 2)?;
    let known = tier.until_up(count.saturating_sub(1), KNOWN_WITHIN)?;
    sample.add("an end known to all, ms", milliseconds(known));
    Ok(sample)
}

/// Plays the loss of members at once, evenly over the list, in a hollow tier of the target's size.
pub(super) fn play_loss(lost: usize, tenants: u16) -> Result<Sample, CapacityError> {
    let block = Block::claim()?;
    let tier = hollow_tier(&block, TARGET_MEMBERS, tenants)?;
    let count = u32::try_from(TARGET_MEMBERS)?;
    let left = u32::try_from(TARGET_MEMBERS.saturating_sub(lost))?;
    tier.until_up(count, KNOWN_WITHIN)?;
    std::thread::sleep(TIER_STABILIZATION_TIME);
    for number in 0..lost {
        tier.stop(number * TARGET_MEMBERS / lost)?;
    }
    let before = tier.snapshot()?;
    let known = tier.until_up(left, KNOWN_WITHIN)?;
    let after = tier.snapshot()?;
    let mut sample = Sample::new(lost);
    let seconds = after.at.saturating_sub(before.at).as_secs_f64();
    sample.add("loss known to all, ms", milliseconds(known));
    sample.add("up at the end, mean", after.up_mean);
    sample.add("up at the end, least", f64::from(after.up_least));
    sample.add(
        "late at the most, ms",
        after.late_most.as_secs_f64() * 1000.0,
    );
    sample.add("up in truth", f64::from(left));
    let sent = (after.sent_bytes - before.sent_bytes) as f64;
    sample.add(
        "sent meanwhile, bytes/s a member",
        sent / seconds / f64::from(left),
    );
    Ok(sample)
}

fn put_hollow(before: &Snapshot, after: &Snapshot, size: usize, sample: &mut Sample) {
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
        after.late_most.as_secs_f64() * 1000.0,
    );
    sample.add("unsent", (after.unsent - before.unsent) as f64);
    sample.add(
        "processor a member, ms/s",
        processor * 1000.0 / seconds / size as f64,
    );
    sample.add("processor a datagram, us", processor * 1e6 / datagrams);
    sample.add("members in sums, mean", after.summed_mean);
    sample.add("members with sums", after.with_sums as f64);
    sample.add("up, least known", f64::from(after.up_least));
}
