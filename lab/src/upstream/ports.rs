//! The ports of an upstream, one for each balancer that may send to it, and their connections.
use super::emulated::Upstream;
use crate::clock::pause;
use crate::error::BindError;
use crate::net::{lock, Link, LinkedStream, Port, PortMode};
use crate::world::World;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// The pause after a connection that could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

impl Upstream {
    /// Starts the cores and the ports, until the run is over.
    ///
    /// # Errors
    /// Fails when a port can't be bound.
    pub fn start(self: &Arc<Self>, world: &Arc<World>) -> Result<(), BindError> {
        let (own, shared) = (self.clone(), world.clone());
        tokio::spawn(async move { own.run(&shared).await });
        for (&balancer, link) in &self.links {
            let (port_mode, mode) = watch::channel(PortMode::Open);
            let address = world.block.upstream(self.index, balancer);
            let port = Port::bind(address, mode).map_err(BindError::at(address))?;
            let listens = self.listens.subscribe();
            tokio::spawn(follow_mode(world.clone(), link.clone(), listens, port_mode));
            let (own, world, link) = (self.clone(), world.clone(), link.clone());
            tokio::spawn(async move { own.accept_connections(world, port, balancer, link).await });
        }
        Ok(())
    }

    async fn accept_connections(
        self: Arc<Self>,
        world: Arc<World>,
        mut port: Port,
        balancer: usize,
        link: Arc<Link>,
    ) {
        loop {
            match port.accept().await {
                Ok(Some(stream)) => {
                    let (own, world, link) = (self.clone(), world.clone(), link.clone());
                    tokio::spawn(async move {
                        own.serve_connection(world, stream, balancer, link).await;
                    });
                }
                Ok(None) => return,
                Err(error) => {
                    tracing::warn!(upstream = %self.plan.name, %error, "failed to accept connection");
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
    }

    async fn serve_connection(
        self: Arc<Self>,
        world: Arc<World>,
        stream: TcpStream,
        balancer: usize,
        link: Arc<Link>,
    ) {
        let delay = world.delay(world.plan.balancers[balancer].zone, self.plan.zone);
        let stream = LinkedStream::new(stream, link.clone());
        let mut resets = link.resets();
        if self.connection_opened() > self.plan.connections {
            self.connection_closed();
            return;
        }
        lock(&world.tally).second(world.now()).connections += 1;
        // The work and the round trips of a handshake.
        let handshake = self.next_token();
        self.work(&world, handshake, self.plan.connection_work)
            .await;
        pause(2.0 * delay * self.plan.round_trips).await;
        let own = self.clone();
        let service = service_fn(move |request| {
            let (own, world, link) = (own.clone(), world.clone(), link.clone());
            async move { Ok::<_, Infallible>(own.respond(&world, request, balancer, &link).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.connection_idle)
            .serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // Errors surface in the requests on the connection.
            _ = connection => {}
            _ = resets.changed() => {}
        }
        self.connection_closed();
    }
}

/// Sets the mode of a port by the state of its link and whether the upstream listens, until the run is over.
async fn follow_mode(
    world: Arc<World>,
    link: Arc<Link>,
    mut listens: watch::Receiver<bool>,
    port_mode: watch::Sender<PortMode>,
) {
    let mut changes = link.changes();
    loop {
        let mode = match (link.is_unresponsive(), *listens.borrow_and_update()) {
            (true, _) => PortMode::Unresponsive,
            (false, true) => PortMode::Open,
            (false, false) => PortMode::Refusing,
        };
        port_mode.send_if_modified(|now| std::mem::replace(now, mode) != mode);
        tokio::select! {
            _ = changes.changed() => {}
            _ = listens.changed() => {}
            () = world.ended() => return,
        }
    }
}
