//! Ends balancers by SIGKILL or SIGTERM, pauses them, and starts them again. The process itself is
//! [`Process`](crate::process::Process)'s.
use super::error::FaultError;
use super::injector::{balancers_of, join_all, Injector};
use crate::draw::{Draws, Party, PlannedFault};
use crate::error::FileError;
use crate::experiment::{Damage, Millis};
use crate::fleet::Fleet;
use crate::net::lock;
use crate::state::damage;
use crate::world::World;
use nix::sys::signal::Signal;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use tokio::task::JoinSet;

/// How long requests lost by a balancer that was stopped or cut off are not violations afterwards, while it catches up.
pub(super) const CATCH_UP: Millis = 1500.0;

/// How long clients continue to open connections after SIGTERM.
const CONNECTIONS_AFTER_SIGTERM: Millis = 300.0;

/// SIGKILL follows SIGTERM after the longest request deadline, but no later than this plus `KILL_GRACE`.
const MAX_DEADLINE: Millis = 3000.0;

/// The time between the longest deadline and SIGKILL.
const KILL_GRACE: Millis = 700.0;

/// How a balancer is ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// SIGKILL.
    Kill,
    /// SIGTERM, and SIGKILL after the grace period.
    Terminate,
}

/// Ends a balancer and starts it again at `until`, with its state folder damaged as `state` says. Does nothing if
/// another fault has already ended it.
pub(super) async fn restart_later(
    injector: Injector,
    balancer: usize,
    ending: Ending,
    until: Millis,
    state: Option<Damage>,
) -> Result<(), FaultError> {
    let fleet = &injector.fleet;
    if !fleet.balancers[balancer].claim_restart() {
        return Ok(());
    }
    match ending {
        Ending::Kill => {
            kill(fleet, balancer);
            tokio::spawn(stop_connections(fleet.clone(), balancer));
        }
        Ending::Terminate => terminate(fleet, balancer).await,
    }
    fleet.world.clock.until(until).await;
    fleet.balancers[balancer].exited().await;
    damage_state(fleet, balancer, state)?;
    injector.start(balancer).await
}

/// Ends a balancer by SIGKILL; requests that it loses then are not violations.
pub(super) fn kill(fleet: &Fleet, balancer: usize) {
    let world = &fleet.world;
    {
        let mut oracle = lock(&world.oracle);
        oracle.exclude_interval(balancer, world.now(), world.now() + CATCH_UP);
        oracle.stopped(balancer, world.now());
    }
    fleet.balancers[balancer].stop(Signal::SIGKILL);
}

/// Ends a balancer by SIGTERM, and by SIGKILL if it has not exited after the longest deadline plus `KILL_GRACE`.
async fn terminate(fleet: &Fleet, balancer: usize) {
    let world = &fleet.world;
    let process = &fleet.balancers[balancer];
    let longest = world.plan.longest().min(MAX_DEADLINE);
    let signalled = world.now();
    lock(&world.oracle).stopped(balancer, signalled);
    process.stop(Signal::SIGTERM);
    world
        .clock
        .until(signalled + CONNECTIONS_AFTER_SIGTERM)
        .await;
    world.in_rotation[balancer].store(false, Ordering::SeqCst);
    tokio::select! {
        () = process.exited() => {}
        () = world.clock.until(signalled + longest + KILL_GRACE) => {
            // The deadlines of requests sent after the signal have passed by now.
            process.stop(Signal::SIGKILL);
            process.exited().await;
        }
    }
}

/// Has the front stop opening connections to a killed balancer, once it has noticed.
async fn stop_connections(fleet: Arc<Fleet>, balancer: usize) {
    let world = &fleet.world;
    let noticed = world.now() + front_notice(world, balancer);
    world.clock.until(noticed).await;
    // The balancer may have restarted already; the front keeps connecting to it then.
    if !*fleet.balancers[balancer].ready.borrow() {
        world.in_rotation[balancer].store(false, Ordering::SeqCst);
    }
}

/// How long the front takes to notice that a balancer was killed.
fn front_notice(world: &World, balancer: usize) -> Millis {
    let span = world.experiment.clients.front_notice.0;
    let unit = (Draws::new(world.plan.seed ^ balancer as u64).seed() % 1000) as f64 / 1000.0;
    span.least + unit * (span.most - span.least)
}

/// The folder with the earlier copy of a balancer's state, which [`Damage::Old`] restores.
pub(super) fn saved_state(fleet: &Fleet, balancer: usize) -> PathBuf {
    let world = &fleet.world;
    world
        .folder
        .join("old-state")
        .join(&world.plan.balancers[balancer].name)
}

fn damage_state(fleet: &Fleet, balancer: usize, kind: Option<Damage>) -> Result<(), FileError> {
    let Some(kind) = kind else { return Ok(()) };
    let state = &fleet.balancers[balancer].state;
    let mut draws = Draws::new(fleet.world.plan.seed ^ 0xda_3a9e ^ balancer as u64);
    let saved = saved_state(fleet, balancer);
    damage(state, kind, &saved, |bits| draws.seed() % bits.max(1)).map_err(FileError::at(state))
}

impl Injector {
    /// Starts a balancer, unless the run is over.
    pub(super) async fn start(&self, balancer: usize) -> Result<(), FaultError> {
        let world = &self.fleet.world;
        if *world.over.borrow() {
            return Ok(());
        }
        self.fleet.balancers[balancer]
            .start(world, &self.guard)
            .await?;
        Ok(())
    }

    /// Restarts balancers one after the other with another build, by SIGTERM.
    pub(super) async fn upgrade(&self, fault: &PlannedFault) -> Result<(), FaultError> {
        let steps = fault.on.len().saturating_sub(1) as f64;
        let down_for = fault.until - fault.at - fault.step_interval * steps;
        let mut tasks = JoinSet::new();
        for (step, party) in fault.on.iter().enumerate() {
            let Party::Balancer(balancer) = *party else {
                continue;
            };
            let at = fault.at + fault.step_interval * step as f64;
            let (injector, build) = (self.clone(), fault.build);
            tasks.spawn(async move {
                injector.fleet.world.clock.until(at).await;
                injector.fleet.balancers[balancer].set_build(build);
                restart_later(injector, balancer, Ending::Terminate, at + down_for, None).await
            });
        }
        join_all(tasks).await
    }

    /// Stops balancers by SIGSTOP and continues them by SIGCONT.
    pub(super) async fn pause(&self, fault: &PlannedFault) {
        let fleet = &self.fleet;
        let world = &fleet.world;
        let balancers = balancers_of(fault);
        for &balancer in &balancers {
            {
                let mut oracle = lock(&world.oracle);
                oracle.exclude_interval(balancer, world.now(), fault.until + CATCH_UP);
                oracle.stopped(balancer, world.now());
            }
            fleet.balancers[balancer].signal(Signal::SIGSTOP);
        }
        world.clock.until(fault.until).await;
        for &balancer in &balancers {
            fleet.balancers[balancer].signal(Signal::SIGCONT);
            lock(&world.oracle).resumed(balancer, world.now());
        }
    }
}
