//! Carries the planned faults out, each at its time.
use crate::agent::{Entry, Mood, State};
use crate::draw::{Calls, Party, PlannedFault};
use crate::experiment::{Damage, FaultKind, Millis, Span};
use crate::fleet::Fleet;
use crate::guard::Guard;
use crate::net::{lock, Direction, Way};
use crate::state::{copy, damage};
use crate::world::World;
use nix::sys::signal::Signal;
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

/// What a balancer held when it could not act is excused for this long after: it has to catch up.
const CATCH_UP: Millis = 1500.0;
/// New connections go on coming for this long after SIGTERM.
const STILL_DEALT: Millis = 300.0;
/// SIGKILL follows SIGTERM after the longest deadline, taken as no longer than this, and this much more.
const DEADLINE_MOST: Millis = 3000.0;
const KILL_AFTER: Millis = 700.0;

/// Tells every agent of changes, each a little later.
#[derive(Default)]
pub struct News {
    /// Changes of each upstream so far, and how often it was replaced.
    numbers: Mutex<HashMap<usize, (u64, usize)>>,
}

impl News {
    /// The machine of an upstream is replaced: it has a new id from now on.
    fn replaced(&self, upstream: usize) {
        lock(&self.numbers).entry(upstream).or_default().1 += 1;
    }

    /// Tells of an upstream's state after `delay`.
    fn tell(&self, fleet: &Arc<Fleet>, upstream: usize, state: State, delay: Span) {
        let world = &fleet.world;
        let (number, replaced) = {
            let mut numbers = lock(&self.numbers);
            let entry = numbers.entry(upstream).or_default();
            entry.0 += 1;
            *entry
        };
        let u = &fleet.upstreams[upstream];
        let starts = u.starts();
        let started = (starts > 1).then(|| world.now());
        let mut drawn = Calls::new(world.plan.seed ^ (upstream as u64) << 20 ^ number);
        let mut span = |s: Span| {
            // Three digits are enough for a delay.
            let unit = (drawn.seed() % 1000) as f64 / 1000.0;
            s.0.least + unit * (s.0.most - s.0.least)
        };
        let delay = span(delay);
        let tier = world.plan.upstreams[upstream].tier;
        for (b, agent) in
            fleet.agents.iter().enumerate().filter(|(b, _)| world.plan.balancers[*b].tier == tier)
        {
            let later = delay + span(world.experiment.discovery.spread);
            let entry = Entry { upstream, id: u.id(replaced), state, start: (starts, started) };
            let at = world.now() + later;
            let (agent, world) = (agent.clone(), world.clone());
            tokio::spawn(async move {
                world.clock.until(at).await;
                tracing::debug!(balancer = b, upstream = %entry.id, "told");
                agent.apply(entry, number);
            });
        }
    }
}

/// Starts every fault of the plan at its time.
pub fn schedule(fleet: &Arc<Fleet>, guard: &Guard) {
    let news = Arc::new(News::default());
    for fault in fleet.world.plan.faults.clone() {
        let (fleet, guard, news) = (fleet.clone(), guard.clone(), news.clone());
        tokio::spawn(async move {
            if fault.state == Some(Damage::Old) {
                fleet.world.clock.until(fault.at / 2.0).await;
                for party in &fault.on {
                    let Party::Balancer(b) = *party else { continue };
                    if let Err(e) = copy(&fleet.balancers[b].state, &old_state(&fleet, b)) {
                        tracing::warn!("a copy of a state folder: {e}");
                    }
                }
            }
            fleet.world.clock.until(fault.at).await;
            tracing::info!(kind = ?fault.kind, on = fault.on.len(), "fault begins");
            if let Err(e) = carry_out(&fleet, &fault, &guard, &news).await {
                tracing::warn!("fault {:?}: {e}", fault.kind);
            }
        });
    }
}

async fn carry_out(
    fleet: &Arc<Fleet>,
    fault: &PlannedFault,
    guard: &Guard,
    news: &Arc<News>,
) -> Result<(), String> {
    use FaultKind::*;
    let world = &fleet.world;
    let balancers: Vec<usize> = fault
        .on
        .iter()
        .filter_map(|p| match p {
            Party::Balancer(b) | Party::Agent(b) => Some(*b),
            _ => None,
        })
        .collect();
    let upstreams: Vec<usize> = fault
        .on
        .iter()
        .filter_map(|p| match p {
            Party::Upstream(u) => Some(*u),
            _ => None,
        })
        .collect();
    match fault.kind {
        Kill | PowerLoss => {
            each(balancers, |b| kill_for(fleet.clone(), guard.clone(), b, fault.until, fault.state)).await?
        }
        DiskFull | DiskFailing | DiskSlow => {
            let does = match (fault.kind, fault.delay) {
                (DiskSlow, Some((least, _))) => format!("slow {least:.0}ms"),
                (DiskFull, _) => "full".into(),
                _ => "failing".into(),
            };
            balancers.iter().try_for_each(|&b| fleet.balancers[b].disk(Some(&does)))?;
            world.clock.until(fault.until).await;
            balancers.iter().try_for_each(|&b| fleet.balancers[b].disk(None))?;
        }
        Terminate => {
            each(balancers, |b| terminate(fleet.clone(), guard.clone(), b, fault.until, fault.state)).await?
        }
        Pause => {
            for &b in &balancers {
                lock(&world.oracle).excuse(b, world.now(), fault.until + CATCH_UP);
                fleet.balancers[b].signal(Signal::SIGSTOP, false);
            }
            world.clock.until(fault.until).await;
            balancers.iter().for_each(|&b| fleet.balancers[b].signal(Signal::SIGCONT, false));
        }
        Cut => cut(fleet, fault).await,
        Slow => {
            upstreams.iter().for_each(|&u| fleet.upstreams[u].slow_down(fault.size));
            world.clock.until(fault.until).await;
            upstreams.iter().for_each(|&u| fleet.upstreams[u].slow_down(1.0));
        }
        Errors => {
            upstreams.iter().for_each(|&u| fleet.upstreams[u].fail(Some(fault.size)));
            world.clock.until(fault.until).await;
            upstreams.iter().for_each(|&u| fleet.upstreams[u].fail(None));
        }
        Die | Lose | Replace => {
            let kind = fault.kind;
            let until = fault.until;
            each(upstreams, |u| leave_and_return(fleet.clone(), guard.clone(), news.clone(), u, kind, until))
                .await?;
        }
        Reset => {
            for &u in &upstreams {
                fleet.upstreams[u].ways.values().for_each(|way| way.reset());
            }
        }
        Burst => {}
        DatagramLoss | DatagramRepeat | DatagramDelay => {
            let calm = world.experiment.net.clone();
            let (kind, size, delay) = (fault.kind, fault.size, fault.delay);
            world.datagrams.change(|w| match (kind, delay) {
                (DatagramLoss, _) => w.loss = size,
                (DatagramRepeat, _) => w.repeat = size,
                (_, Some((least, most))) => w.delay = crate::experiment::Range { least, most },
                _ => {}
            });
            world.clock.until(fault.until).await;
            world.datagrams.change(|w| match kind {
                DatagramLoss => w.loss = calm.datagram_loss,
                DatagramRepeat => w.repeat = calm.datagram_repeat,
                _ => w.delay = calm.datagrams.0,
            });
        }
        DiscoverySilent | DiscoveryGarbled | DiscoveryStale => {
            let mood = match fault.kind {
                DiscoverySilent => Mood::Silent,
                DiscoveryGarbled => Mood::Garbled,
                _ => Mood::Stale,
            };
            balancers.iter().for_each(|&b| fleet.agents[b].behave(mood));
            world.clock.until(fault.until).await;
            balancers.iter().for_each(|&b| fleet.agents[b].behave(Mood::Sound));
        }
        DiscoveryMove => {
            for &b in &balancers {
                fleet.agents[b].move_on();
                fleet.balancers[b].configure(world)?;
                fleet.balancers[b].signal(Signal::SIGHUP, false);
            }
        }
    }
    Ok(())
}

/// Does the same for each, all at once.
async fn each<F, T>(of: Vec<usize>, what: F) -> Result<(), String>
where
    F: Fn(usize) -> T,
    T: std::future::Future<Output = Result<(), String>> + Send + 'static,
{
    let mut all = tokio::task::JoinSet::new();
    for one in of {
        all.spawn(what(one));
    }
    while let Some(done) = all.join_next().await {
        done.map_err(|e| e.to_string())??;
    }
    Ok(())
}

async fn kill_for(
    fleet: Arc<Fleet>,
    guard: Guard,
    b: usize,
    until: Millis,
    state: Option<Damage>,
) -> Result<(), String> {
    let world = &fleet.world;
    if !fleet.balancers[b].take_down() {
        return Ok(());
    }
    kill(&fleet, b);
    let notice = front_notice(world, b);
    let front = fleet.clone();
    tokio::spawn(async move {
        front.world.clock.until(front.world.now() + notice).await;
        // Back already: it is ready for anything.
        if !*front.balancers[b].ready.borrow() {
            front.world.dealt[b].store(false, Ordering::SeqCst);
        }
    });
    come_back(&fleet, &guard, b, until, state).await
}

fn kill(fleet: &Fleet, b: usize) {
    let world = &fleet.world;
    lock(&world.oracle).excuse(b, world.now(), world.now() + CATCH_UP);
    fleet.balancers[b].signal(Signal::SIGKILL, true);
}

/// Where the copy of a state folder is kept that an `old` one is put back from.
fn old_state(fleet: &Fleet, b: usize) -> PathBuf {
    fleet.world.folder.join("old-state").join(&fleet.world.plan.balancers[b].name)
}

fn spoil(fleet: &Fleet, b: usize, how: Option<Damage>) -> Result<(), String> {
    let Some(how) = how else { return Ok(()) };
    let state = &fleet.balancers[b].state;
    let mut drawn = Calls::new(fleet.world.plan.seed ^ 0xda_3a9e ^ b as u64);
    let done = damage(state, how, &old_state(fleet, b), |bits| drawn.seed() % bits.max(1));
    done.map_err(|e| format!("{}: {e}", state.display()))
}

/// Starts one that was ended again, with what has become of its folder.
async fn come_back(
    fleet: &Arc<Fleet>,
    guard: &Guard,
    b: usize,
    until: Millis,
    state: Option<Damage>,
) -> Result<(), String> {
    fleet.world.clock.until(until).await;
    fleet.balancers[b].ended().await;
    spoil(fleet, b, state)?;
    restart(fleet, guard, b).await
}

async fn restart(fleet: &Arc<Fleet>, guard: &Guard, b: usize) -> Result<(), String> {
    if *fleet.world.over.borrow() {
        return Ok(());
    }
    fleet.balancers[b].start(&fleet.world, guard).await
}

fn front_notice(world: &World, b: usize) -> Millis {
    let span = world.experiment.clients.front_notice.0;
    let unit = (Calls::new(world.plan.seed ^ b as u64).seed() % 1000) as f64 / 1000.0;
    span.least + unit * (span.most - span.least)
}

async fn terminate(
    fleet: Arc<Fleet>,
    guard: Guard,
    b: usize,
    until: Millis,
    state: Option<Damage>,
) -> Result<(), String> {
    let world = &fleet.world;
    let process = &fleet.balancers[b];
    if !process.take_down() {
        return Ok(());
    }
    let longest = world.plan.longest().min(DEADLINE_MOST);
    let told = world.now();
    process.signal(Signal::SIGTERM, true);
    world.clock.until(told + STILL_DEALT).await;
    world.dealt[b].store(false, Ordering::SeqCst);
    tokio::select! {
        () = process.ended() => {}
        () = world.clock.until(told + longest + KILL_AFTER) => {
            // What came later than this after the word was no longer owed its answer.
            process.signal(Signal::SIGKILL, true);
            process.ended().await;
        }
    }
    come_back(&fleet, &guard, b, until, state).await
}

/// The ways between two parties, with the direction that leads from the first to the second.
fn ways(fleet: &Fleet, from: Party, to: Party) -> Vec<(Arc<Way>, Direction, Option<usize>)> {
    let world = &fleet.world;
    use Party::*;
    match (from, to) {
        (Balancer(b), Upstream(u)) => fleet.upstreams[u]
            .ways
            .get(&b)
            .map(|w| (w.clone(), Direction::Inward, None))
            .into_iter()
            .collect(),
        (Balancer(b), Clients(z)) if world.plan.balancers[b].owner.is_none() => {
            vec![(world.caller_ways[b][z].clone(), Direction::Inward, Some(b))]
        }
        (Balancer(b), Agent(a)) if a == b => vec![(fleet.agents[a].way.clone(), Direction::Inward, None)],
        (Upstream(_) | Clients(_) | Agent(_), Balancer(_)) => {
            let turned = ways(fleet, to, from).into_iter();
            turned.map(|(way, _, excused)| (way, Direction::Outward, excused)).collect()
        }
        _ => Vec::new(),
    }
}

async fn cut(fleet: &Fleet, fault: &PlannedFault) {
    let world = &fleet.world;
    let mut cuts = Vec::new();
    for &a in &fault.on {
        for &b in &fault.to {
            cuts.extend(ways(fleet, a, b));
            if !fault.one_way {
                cuts.extend(ways(fleet, b, a));
            }
        }
    }
    let mut unheard = Vec::new();
    for &a in &fault.on {
        for &b in &fault.to {
            if let (Party::Balancer(a), Party::Balancer(b)) = (a, b) {
                unheard.push((a, b));
                if !fault.one_way {
                    unheard.push((b, a));
                }
            }
        }
    }
    unheard.iter().for_each(|&(from, to)| world.datagrams.cut(from, to));
    for (way, direction, excused) in &cuts {
        way.cut(*direction);
        if let Some(b) = excused {
            lock(&world.oracle).excuse(*b, world.now(), fault.until + CATCH_UP);
        }
    }
    world.clock.until(fault.until).await;
    for (way, direction, _) in &cuts {
        way.heal(*direction);
    }
    unheard.iter().for_each(|&(from, to)| world.datagrams.heal(from, to));
}

async fn leave_and_return(
    fleet: Arc<Fleet>,
    guard: Guard,
    news: Arc<News>,
    u: usize,
    kind: FaultKind,
    until: Millis,
) -> Result<(), String> {
    let world = &fleet.world;
    let upstream = &fleet.upstreams[u];
    let beside = world.beside(u);
    let discovery = &world.experiment.discovery;
    match kind {
        FaultKind::Replace => {
            news.tell(&fleet, u, State::Leaving, discovery.notice);
            let longest = world.plan.longest();
            let drained = discovery.notice.0.most + discovery.spread.0.most + longest;
            world.clock.until(world.now() + drained).await;
            upstream.end();
            news.tell(&fleet, u, State::Left, discovery.notice);
        }
        FaultKind::Lose => {
            upstream.vanish();
            news.tell(&fleet, u, State::Left, discovery.silent_notice);
        }
        _ => {
            upstream.end();
            news.tell(&fleet, u, State::Left, discovery.notice);
        }
    }
    if let Some(b) = beside {
        kill(&fleet, b);
    }
    world.clock.until(until).await;
    if kind == FaultKind::Replace {
        news.replaced(u);
    }
    upstream.begin(world.now());
    if kind == FaultKind::Lose {
        upstream.reappear();
    }
    if let Some(b) = beside {
        fleet.balancers[b].ended().await;
        restart(&fleet, &guard, b).await?;
    }
    news.tell(&fleet, u, State::Active, discovery.add);
    Ok(())
}
