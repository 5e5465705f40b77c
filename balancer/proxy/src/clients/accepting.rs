//! Accepts clients for as long as the program serves. Holds nothing beside what it hands to their connections.
use super::connection::Connections;
use super::phase::{closing, Phase};
use super::requests::Requests;
use super::slots::Slots;
use crate::driver::Handle;
use crate::held::Held;
use crate::sockets::Sockets;
use balancer_settings::Deployment;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Pause after an accept that failed, for want of descriptors for one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The clients' side as a whole.
pub(crate) struct Server(Rc<Connections>);

impl Server {
    /// Serves clients through `driver`, on what `sockets` leaves.
    pub(crate) fn new(
        driver: Handle,
        deployment: Deployment,
        sockets: Sockets,
        phase: watch::Receiver<Phase>,
        held: Held,
    ) -> Server {
        let slots = Slots::new(driver.clone(), sockets, held);
        Server(Rc::new(Connections {
            requests: Requests { driver, deployment },
            slots,
            phase,
        }))
    }

    /// Accepts clients until the program closes. Returns once every connection has ended.
    pub(crate) async fn run(self, listener: TcpListener) {
        let Server(connections) = self;
        let (slots, mut phase, mut failing) =
            (&connections.slots, connections.phase.clone(), false);
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = closing(&mut phase) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    failing = false;
                    connections.clone().start(stream).await;
                }
                // Out of descriptors, or a client that left at once: no reason to end, nor to spin.
                Err(e) => {
                    if !std::mem::replace(&mut failing, true) {
                        warn_of(&e);
                    }
                    slots.close_one();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        if let Err(e) = accept_waiting(&connections, listener).await {
            warn_of(&e);
        }
        slots.emptied().await;
    }
}

/// Accepts whoever waits by now, and drops the listener once the system itself says that nobody does: what they have
/// written counts as taken, and the runtime may not know of them yet. No await stands between that and the drop.
async fn accept_waiting(connections: &Rc<Connections>, listener: TcpListener) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                connections
                    .clone()
                    .start(TcpStream::from_std(stream)?)
                    .await;
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
            // A client that left at once, or a signal.
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                ) => {}
            Err(e) => return Err(e),
        }
    }
}

fn warn_of(error: &io::Error) {
    tracing::warn!(target: "callers", event = "accept_failed", error = %error, "accept: {error}");
}
