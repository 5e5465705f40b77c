//! Loses, repeats, delays and forges datagrams between balancers, on the emulated network of
//! [`Datagrams`](crate::datagrams::Datagrams).
use super::injector::Injector;
use crate::draw::PlannedFault;
use crate::experiment::{FaultKind, Range};
use crate::net::lock;

/// At this share of lost datagrams or more, balancers are not expected to know their peers.
const ISOLATING_LOSS: f64 = 0.5;

impl Injector {
    pub(super) async fn datagram_garbage(&self, fault: &PlannedFault) {
        let world = &self.fleet.world;
        tokio::select! {
            () = world.datagrams.garbage(fault.size) => {}
            () = world.clock.until(fault.until) => {}
            () = world.ended() => {}
        }
    }

    pub(super) async fn degrade_datagrams(&self, fault: &PlannedFault) {
        let world = &self.fleet.world;
        let usual = world.experiment.net.clone();
        let isolates = fault.kind == FaultKind::DatagramLoss && fault.size >= ISOLATING_LOSS;
        if isolates {
            lock(&world.oracle).set_heavy_loss(true, world.now());
        }
        world
            .datagrams
            .change(|conditions| match (fault.kind, fault.delay) {
                (FaultKind::DatagramLoss, _) => conditions.loss = fault.size,
                (FaultKind::DatagramRepeat, _) => conditions.repeat = fault.size,
                (_, Some((least, most))) => conditions.delay = Range { least, most },
                _ => {}
            });
        world.clock.until(fault.until).await;
        world.datagrams.change(|conditions| match fault.kind {
            FaultKind::DatagramLoss => conditions.loss = usual.datagram_loss,
            FaultKind::DatagramRepeat => conditions.repeat = usual.datagram_repeat,
            _ => conditions.delay = usual.datagrams.0,
        });
        if isolates {
            lock(&world.oracle).set_heavy_loss(false, world.now());
        }
    }
}
