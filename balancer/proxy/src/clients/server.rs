//! Accepts client connections while the program serves. Owns the state that the connections share.
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

/// Pause after a failed accept, for example when no descriptors are left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Accepts and serves client connections.
pub(crate) struct Server(Rc<Connections>);

impl Server {
    /// Creates a server that forwards requests to `driver` and takes connection slots from `sockets`.
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

    /// Accepts clients until the closing phase. Returns once every connection has ended.
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
                // Out of descriptors, or the client disconnected before the accept: keep accepting, but do not spin.
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

/// Accepts all connections in the backlog, then drops the listener. Requests written on those connections count as
/// received, and the runtime may not know of the connections yet, so the system call itself must report an empty
/// backlog. There is no await between that and the drop.
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
            // The client disconnected before the accept, or a signal interrupted the call.
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
    tracing::warn!(target: "callers", event = "accept_failed", error = %error, "cannot accept a client connection: {error}");
}
