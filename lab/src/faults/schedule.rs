//! Starts every fault of the plan at its time, and takes it back.
use super::cut::cut;
use super::ends::{kill_for, old_state, terminate, upgrade, CATCH_UP};
use super::news::News;
use super::upstreams::leave_and_return;
use crate::agent::Mood;
use crate::draw::{Party, PlannedFault};
use crate::experiment::{Damage, FaultKind};
use crate::fleet::Fleet;
use crate::guard::Guard;
use crate::net::lock;
use crate::state::copy;
use nix::sys::signal::Signal;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// From this part of datagrams lost on nobody can be sure of anybody.
const MUFFLED: f64 = 0.5;

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
            each(balancers, |b| {
                kill_for(fleet.clone(), guard.clone(), b, fault.until, fault.state)
            })
            .await?
        }
        DiskFull | DiskFailing | DiskSlow => {
            let does = match (fault.kind, fault.delay) {
                (DiskSlow, Some((least, _))) => format!("slow {least:.0}ms"),
                (DiskFull, _) => "full".into(),
                _ => "failing".into(),
            };
            balancers
                .iter()
                .try_for_each(|&b| fleet.balancers[b].disk(Some(&does)))?;
            world.clock.until(fault.until).await;
            balancers
                .iter()
                .try_for_each(|&b| fleet.balancers[b].disk(None))?;
        }
        Terminate => {
            each(balancers, |b| {
                terminate(fleet.clone(), guard.clone(), b, fault.until, fault.state)
            })
            .await?
        }
        Upgrade => upgrade(fleet, guard, fault).await?,
        Pause => {
            for &b in &balancers {
                {
                    let mut oracle = lock(&world.oracle);
                    oracle.excuse(b, world.now(), fault.until + CATCH_UP);
                    oracle.stops(b, world.now());
                }
                fleet.balancers[b].signal(Signal::SIGSTOP, false);
            }
            world.clock.until(fault.until).await;
            for &b in &balancers {
                fleet.balancers[b].signal(Signal::SIGCONT, false);
                lock(&world.oracle).goes_on(b, world.now());
            }
        }
        Cut => cut(fleet, fault).await,
        Slow => {
            upstreams
                .iter()
                .for_each(|&u| fleet.upstreams[u].slow_down(fault.size));
            world.clock.until(fault.until).await;
            upstreams
                .iter()
                .for_each(|&u| fleet.upstreams[u].slow_down(1.0));
        }
        Errors => {
            upstreams
                .iter()
                .for_each(|&u| fleet.upstreams[u].fail(Some(fault.size)));
            world.clock.until(fault.until).await;
            upstreams
                .iter()
                .for_each(|&u| fleet.upstreams[u].fail(None));
        }
        Die | Lose | Replace => {
            let kind = fault.kind;
            let until = fault.until;
            each(upstreams, |u| {
                leave_and_return(fleet.clone(), guard.clone(), news.clone(), u, kind, until)
            })
            .await?;
        }
        Reset => {
            for &u in &upstreams {
                fleet.upstreams[u]
                    .links
                    .values()
                    .for_each(|link| link.reset());
            }
        }
        Burst => {}
        Outage => {
            world.outages.fetch_add(1, Ordering::Relaxed);
            world.clock.until(fault.until).await;
            world.outages.fetch_sub(1, Ordering::Relaxed);
        }
        DatagramGarbage => {
            let garbage = world.datagrams.garbage(fault.size);
            tokio::select! {
                () = garbage => {}
                () = world.clock.until(fault.until) => {}
                () = world.ended() => {}
            }
        }
        DatagramLoss | DatagramRepeat | DatagramDelay => {
            let calm = world.experiment.net.clone();
            let (kind, size, delay) = (fault.kind, fault.size, fault.delay);
            let muffles = kind == DatagramLoss && size >= MUFFLED;
            if muffles {
                lock(&world.oracle).muffle(true, world.now());
            }
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
            if muffles {
                lock(&world.oracle).muffle(false, world.now());
            }
        }
        DiscoverySilent | DiscoveryGarbled | DiscoveryStale => {
            let mood = match fault.kind {
                DiscoverySilent => Mood::Silent,
                DiscoveryGarbled => Mood::Garbled,
                _ => Mood::Stale,
            };
            balancers.iter().for_each(|&b| fleet.agents[b].behave(mood));
            world.clock.until(fault.until).await;
            balancers
                .iter()
                .for_each(|&b| fleet.agents[b].behave(Mood::Sound));
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
