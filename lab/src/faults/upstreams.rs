//! Makes upstreams slow or failing, and ends, disconnects or replaces them; they restart with a slow start.
use super::balancers::kill;
use super::error::FaultError;
use super::injector::{for_each_at_once, upstreams_of, Injector};
use crate::agent::State;
use crate::draw::PlannedFault;
use crate::experiment::{FaultKind, Millis};

impl Injector {
    pub(super) async fn slow_upstreams(&self, fault: &PlannedFault) {
        let upstreams = upstreams_of(fault);
        for &upstream in &upstreams {
            self.fleet.upstreams[upstream].slow_down(fault.size);
        }
        self.fleet.world.clock.until(fault.until).await;
        for &upstream in &upstreams {
            self.fleet.upstreams[upstream].slow_down(1.0);
        }
    }

    pub(super) async fn fail_upstreams(&self, fault: &PlannedFault) {
        let upstreams = upstreams_of(fault);
        for &upstream in &upstreams {
            self.fleet.upstreams[upstream].fail(Some(fault.size));
        }
        self.fleet.world.clock.until(fault.until).await;
        for &upstream in &upstreams {
            self.fleet.upstreams[upstream].fail(None);
        }
    }

    pub(super) fn reset_upstreams(&self, fault: &PlannedFault) {
        for upstream in upstreams_of(fault) {
            for link in self.fleet.upstreams[upstream].links.values() {
                link.reset();
            }
        }
    }

    /// Ends upstreams and their sidecar balancers, and restarts them.
    pub(super) async fn lose_upstreams(&self, fault: &PlannedFault) -> Result<(), FaultError> {
        let (kind, until) = (fault.kind, fault.until);
        for_each_at_once(upstreams_of(fault), |upstream| {
            let injector = self.clone();
            async move { injector.lose_upstream(upstream, kind, until).await }
        })
        .await
    }

    async fn lose_upstream(
        &self,
        index: usize,
        kind: FaultKind,
        until: Millis,
    ) -> Result<(), FaultError> {
        let fleet = &self.fleet;
        let world = &fleet.world;
        let upstream = &fleet.upstreams[index];
        let sidecar = world.sidecar(index);
        self.end_upstream(index, kind).await;
        if let Some(balancer) = sidecar {
            kill(fleet, balancer);
        }
        world.clock.until(until).await;
        if kind == FaultKind::Replace {
            self.announcements.record_replacement(index);
        }
        upstream.begin(world.now());
        if kind == FaultKind::Lose {
            upstream.reappear();
        }
        if let Some(balancer) = sidecar {
            fleet.balancers[balancer].exited().await;
            self.start(balancer).await?;
        }
        let delay = world.experiment.discovery.add;
        self.announcements
            .announce(fleet, index, State::Active, delay);
        Ok(())
    }

    /// Ends an upstream in the manner of the kind of fault, and announces its new state.
    async fn end_upstream(&self, index: usize, kind: FaultKind) {
        let fleet = &self.fleet;
        let world = &fleet.world;
        let upstream = &fleet.upstreams[index];
        let discovery = &world.experiment.discovery;
        let announce = |state, delay| self.announcements.announce(fleet, index, state, delay);
        match kind {
            FaultKind::Replace => {
                announce(State::Draining, discovery.notice);
                let longest = world.plan.longest();
                let drain = discovery.notice.0.most + discovery.spread.0.most + longest;
                world.clock.until(world.now() + drain).await;
                upstream.end();
                announce(State::Removed, discovery.notice);
            }
            FaultKind::Lose => {
                upstream.vanish();
                announce(State::Removed, discovery.unresponsive_notice);
            }
            _ => {
                upstream.end();
                announce(State::Removed, discovery.notice);
            }
        }
    }
}
