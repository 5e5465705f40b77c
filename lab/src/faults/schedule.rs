//! Starts every fault of the plan at its time and dispatches it by kind.
use super::announcements::Announcements;
use super::balancers::{restart_later, saved_state, Ending};
use super::error::FaultError;
use super::injector::{balancers_of, for_each_at_once, Injector};
use crate::agent::DiscoveryMode;
use crate::draw::{Party, PlannedFault};
use crate::experiment::{Damage, FaultKind};
use crate::fleet::Fleet;
use crate::guard::Guard;
use crate::state::copy;
use nix::sys::signal::Signal;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Spawns a task for every fault of the plan, which waits for its time.
pub fn schedule(fleet: &Arc<Fleet>, guard: &Guard) {
    let injector = Injector {
        fleet: fleet.clone(),
        guard: guard.clone(),
        announcements: Arc::new(Announcements::default()),
    };
    for fault in fleet.world.plan.faults.clone() {
        let injector = injector.clone();
        tokio::spawn(async move { injector.run(&fault).await });
    }
}

impl Injector {
    async fn run(&self, fault: &PlannedFault) {
        let clock = &self.fleet.world.clock;
        if fault.state == Some(Damage::Old) {
            clock.until(fault.at / 2.0).await;
            self.save_states(fault);
        }
        clock.until(fault.at).await;
        tracing::info!(kind = ?fault.kind, on = fault.on.len(), "fault begins");
        if let Err(error) = self.inject(fault).await {
            tracing::warn!(kind = ?fault.kind, %error, "fault could not be injected");
        }
    }

    /// Copies the current state folders, for a later restore.
    fn save_states(&self, fault: &PlannedFault) {
        for party in &fault.on {
            let Party::Balancer(balancer) = *party else {
                continue;
            };
            let state = &self.fleet.balancers[balancer].state;
            if let Err(error) = copy(state, &saved_state(&self.fleet, balancer)) {
                tracing::warn!(balancer, %error, "state folder could not be copied");
            }
        }
    }

    /// Injects one fault and returns once it is reverted.
    async fn inject(&self, fault: &PlannedFault) -> Result<(), FaultError> {
        match fault.kind {
            FaultKind::Kill | FaultKind::PowerLoss => self.end_each(fault, Ending::Kill).await?,
            FaultKind::Terminate => self.end_each(fault, Ending::Terminate).await?,
            FaultKind::Upgrade => self.upgrade(fault).await?,
            FaultKind::Pause => self.pause(fault).await,
            FaultKind::DiskFull | FaultKind::DiskFailing | FaultKind::DiskSlow => {
                self.fail_disks(fault).await?;
            }
            FaultKind::Cut => self.partition(fault).await,
            FaultKind::Slow => self.slow_upstreams(fault).await,
            FaultKind::Errors => self.fail_upstreams(fault).await,
            FaultKind::Die | FaultKind::Lose | FaultKind::Replace => {
                self.lose_upstreams(fault).await?;
            }
            FaultKind::Reset => self.reset_upstreams(fault),
            // Part of the planned arrivals.
            FaultKind::Burst => {}
            FaultKind::Outage => self.outage(fault).await,
            FaultKind::DatagramGarbage => self.datagram_garbage(fault).await,
            FaultKind::DatagramLoss | FaultKind::DatagramRepeat | FaultKind::DatagramDelay => {
                self.degrade_datagrams(fault).await;
            }
            FaultKind::DiscoveryUnresponsive => {
                self.discovery_mode(fault, DiscoveryMode::Unresponsive)
                    .await;
            }
            FaultKind::DiscoveryGarbled => {
                self.discovery_mode(fault, DiscoveryMode::Malformed).await;
            }
            FaultKind::DiscoveryStale => self.discovery_mode(fault, DiscoveryMode::Stale).await,
            FaultKind::DiscoveryMove => self.move_discovery(fault)?,
        }
        Ok(())
    }

    /// Ends all balancers of a fault at once, and restarts each.
    async fn end_each(&self, fault: &PlannedFault, ending: Ending) -> Result<(), FaultError> {
        for_each_at_once(balancers_of(fault), |balancer| {
            restart_later(self.clone(), balancer, ending, fault.until, fault.state)
        })
        .await
    }

    async fn outage(&self, fault: &PlannedFault) {
        let world = &self.fleet.world;
        world.outages.fetch_add(1, Ordering::Relaxed);
        world.clock.until(fault.until).await;
        world.outages.fetch_sub(1, Ordering::Relaxed);
    }

    async fn discovery_mode(&self, fault: &PlannedFault, mode: DiscoveryMode) {
        let balancers = balancers_of(fault);
        for &balancer in &balancers {
            self.fleet.agents[balancer].set_mode(mode);
        }
        self.fleet.world.clock.until(fault.until).await;
        for &balancer in &balancers {
            self.fleet.agents[balancer].set_mode(DiscoveryMode::Normal);
        }
    }

    fn move_discovery(&self, fault: &PlannedFault) -> Result<(), FaultError> {
        for balancer in balancers_of(fault) {
            self.fleet.agents[balancer].move_on();
            let process = &self.fleet.balancers[balancer];
            process.write_config(&self.fleet.world)?;
            process.signal(Signal::SIGHUP);
        }
        Ok(())
    }
}
