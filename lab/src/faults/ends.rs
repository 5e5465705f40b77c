//! Ends balancers, by SIGKILL or SIGTERM, and starts them again.
use crate::draw::{Calls, Party, PlannedFault};
use crate::experiment::{Damage, Millis};
use crate::fleet::Fleet;
use crate::guard::Guard;
use crate::net::lock;
use crate::state::damage;
use crate::world::World;
use nix::sys::signal::Signal;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// What a balancer held when it could not act is excused for this long after: it has to catch up.
pub(super) const CATCH_UP: Millis = 1500.0;

/// New connections go on coming for this long after SIGTERM.
const STILL_DEALT: Millis = 300.0;

/// SIGKILL follows SIGTERM after the longest deadline, taken as no longer than this, and this much more.
const DEADLINE_MOST: Millis = 3000.0;

const KILL_AFTER: Millis = 700.0;

pub(super) async fn kill_for(
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

pub(super) fn kill(fleet: &Fleet, b: usize) {
    let world = &fleet.world;
    {
        let mut oracle = lock(&world.oracle);
        oracle.excuse(b, world.now(), world.now() + CATCH_UP);
        oracle.stops(b, world.now());
    }
    fleet.balancers[b].signal(Signal::SIGKILL, true);
}

/// Where the copy of a state folder is kept that an `old` one is put back from.
pub(super) fn old_state(fleet: &Fleet, b: usize) -> PathBuf {
    fleet
        .world
        .folder
        .join("old-state")
        .join(&fleet.world.plan.balancers[b].name)
}

fn spoil(fleet: &Fleet, b: usize, how: Option<Damage>) -> Result<(), String> {
    let Some(how) = how else { return Ok(()) };
    let state = &fleet.balancers[b].state;
    let mut drawn = Calls::new(fleet.world.plan.seed ^ 0xda_3a9e ^ b as u64);
    let done = damage(state, how, &old_state(fleet, b), |bits| {
        drawn.seed() % bits.max(1)
    });
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

pub(super) async fn restart(fleet: &Arc<Fleet>, guard: &Guard, b: usize) -> Result<(), String> {
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

/// Ends balancers in turn by SIGTERM, each to start again as another build.
pub(super) async fn upgrade(
    fleet: &Arc<Fleet>,
    guard: &Guard,
    fault: &PlannedFault,
) -> Result<(), String> {
    let lasts = fault.until - fault.at - fault.pace * fault.on.len().saturating_sub(1) as f64;
    let mut all = tokio::task::JoinSet::new();
    for (n, party) in fault.on.iter().enumerate() {
        let Party::Balancer(b) = *party else { continue };
        let (fleet, guard, build) = (fleet.clone(), guard.clone(), fault.build);
        let at = fault.at + fault.pace * n as f64;
        all.spawn(async move {
            fleet.world.clock.until(at).await;
            fleet.balancers[b].becomes(build);
            terminate(fleet, guard, b, at + lasts, None).await
        });
    }
    while let Some(done) = all.join_next().await {
        done.map_err(|e| e.to_string())??;
    }
    Ok(())
}

pub(super) async fn terminate(
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
    lock(&world.oracle).stops(b, told);
    process.signal(Signal::SIGTERM, true);
    world.clock.until(told + STILL_DEALT).await;
    world.dealt[b].store(false, Ordering::SeqCst);
    tokio::select! {
        () = process.ended() => {}
        () = world.clock.until(told + longest + KILL_AFTER) => {
            // What came later than this after the signal was no longer owed its answer.
            process.signal(Signal::SIGKILL, true);
            process.ended().await;
        }
    }
    come_back(&fleet, &guard, b, until, state).await
}
