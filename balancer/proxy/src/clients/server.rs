//! Accepts clients for as long as the program serves. Owns nothing beside what it hands to their connections.
use super::connection::Connections;
use super::phase::{wait_for_closing, Phase};
use super::requests::Requests;
use super::slots::Slots;
use crate::connection_counts::ConnectionCounts;
use crate::driver::Handle;
use crate::sockets::Sockets;
use balancer_settings::Deployment;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Pause after an accept that failed, for want of descriptors for one.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// The clients' side.
pub(crate) struct Server(Rc<Connections>);

impl Server {
    /// Serves clients through `driver`, on what `sockets` leaves.
    pub(crate) fn new(
        driver: Handle,
        deployment: Deployment,
        sockets: Sockets,
        phase: watch::Receiver<Phase>,
        connection_counts: ConnectionCounts,
    ) -> Server {
        let slots = Slots::new(driver.clone(), sockets, connection_counts);
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
                () = wait_for_closing(&mut phase) => break,
            };
            match accepted {
                Ok((stream, _)) => {
                    failing = false;
                    connections.clone().start(stream).await;
                }
                // Out of descriptors, or a client that left at once: no reason to end, nor to spin.
                Err(e) => {
                    if !std::mem::replace(&mut failing, true) {
                        log_accept_failure(&e);
                    }
                    slots.evict_one();
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
        if let Err(e) = accept_backlog(&connections, listener).await {
            log_accept_failure(&e);
        }
        slots.all_released().await;
    }
}

/// Accepts whoever waits by now, and drops the listener once the system itself says that nobody does: what they have
/// written counts as taken, and the runtime may not know of them yet. No await stands between that and the drop.
async fn accept_backlog(connections: &Rc<Connections>, listener: TcpListener) -> io::Result<()> {
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

fn log_accept_failure(error: &io::Error) {
    tracing::warn!(target: "callers", event = "accept_failed", error = %error, "accept: {error}");
}
