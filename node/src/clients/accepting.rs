//! Accepts clients for as long as the program serves. Holds nothing beside what it hands to their connections.
use super::connection::Connections;
use super::phase::{closing, Phase};
use super::requests::Requests;
use super::slots::Slots;
use crate::driver::Handle;
use crate::held::Held;
use crate::sockets::Sockets;
use oakflow_settings::Deployment;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::yield_now;

/// Pause after an accept that failed, for want of descriptors for one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The clients' side as a whole.
pub struct Server(Rc<Connections>);

impl Server {
    /// Serves clients through `driver`, on what `sockets` leaves.
    pub fn new(
        driver: Handle,
        deployment: Deployment,
        sockets: Sockets,
        phase: watch::Receiver<Phase>,
        held: Held,
    ) -> Server {
        let slots = Slots::new(driver.clone(), sockets, held);
        Server(Rc::new(Connections { requests: Requests { driver, deployment }, slots, phase }))
    }

    /// Accepts clients until the program closes. Returns once every connection has ended.
    pub async fn run(self, listener: TcpListener) {
        let Server(connections) = self;
        let (slots, mut phase, mut failing) = (&connections.slots, connections.phase.clone(), false);
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                // Only once nobody waits to be accepted: what they have written counts as taken.
                () = closing_and_polled(&mut phase) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    failing = false;
                    let Some(slot) = slots.free().await else { break };
                    tokio::task::spawn_local(connections.clone().serve(stream, slot));
                }
                // Out of descriptors, or a client that left at once: no reason to end, nor to spin.
                Err(e) => {
                    if !std::mem::replace(&mut failing, true) {
                        tracing::warn!(target: "callers", event = "accept_failed", error = %e, "accept: {e}");
                    }
                    slots.close_one();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        drop(listener);
        slots.emptied().await;
    }
}

/// Waits for the word to close, and then until the runtime has asked the system once more who waits to be accepted.
async fn closing_and_polled(phase: &mut watch::Receiver<Phase>) {
    closing(phase).await;
    yield_now().await;
}
