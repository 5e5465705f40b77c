//! An agent on sockets: its addresses, its long polls and its faults.
use super::entry::{DiscoveryMode, Entry, State};
use super::listing::{Freshness, Listing, UpstreamList};
use crate::draw::Plan;
use crate::error::BindError;
use crate::net::{lock, Link, LinkedStream, Port, PortMode};
use crate::world::World;
use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// The maximum time of a long poll, in milliseconds.
const MAX_POLL_MS: u64 = 60_000;
/// How long connections to a former address stay open after a move.
const OLD_ADDRESS_CLOSES_AFTER: Duration = Duration::from_millis(1500);
/// A truncated response.
const MALFORMED: &str = r#"{"version":9,"full":true,"servers":[{"id":"#;

/// One balancer's agent.
pub struct Agent {
    balancer: usize,
    upstreams: Mutex<UpstreamList>,
    /// The version of the list.
    changed: watch::Sender<u64>,
    mode: watch::Sender<DiscoveryMode>,
    moves: watch::Sender<u16>,
    /// The link between the agent and its balancer.
    pub link: Arc<Link>,
}

impl Agent {
    /// Returns an agent that lists all upstreams of its balancer's tier as active since before the run.
    pub fn new(balancer: usize, plan: &Plan) -> Agent {
        let tier = plan.balancers[balancer].tier;
        Agent {
            balancer,
            upstreams: Mutex::new(UpstreamList::of_tier(tier, plan)),
            changed: watch::channel(UpstreamList::FIRST_VERSION).0,
            mode: watch::channel(DiscoveryMode::Normal).0,
            moves: watch::channel(0).0,
            link: Link::open(),
        }
    }

    /// Applies the `change`-th change of an upstream; drops it if a later change was applied before.
    pub fn apply(&self, entry: Entry, change: u64) {
        let version = lock(&self.upstreams).apply(entry, change);
        if let Some(version) = version {
            self.changed.send_replace(version);
        }
    }

    /// Changes how the agent behaves.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        self.mode.send_replace(mode);
    }

    /// Moves to the agent's next address, and returns how often it has moved.
    pub fn move_on(&self) -> u16 {
        self.moves.send_modify(|n| *n += 1);
        *self.moves.borrow()
    }

    /// How often the agent has moved.
    pub fn moves(&self) -> u16 {
        *self.moves.borrow()
    }

    /// The full list in the wire format of discovery.
    pub fn full_listing(&self, world: &World) -> String {
        self.listing(world, None, Freshness::Current).text
    }

    fn listing(&self, world: &World, since: Option<u64>, freshness: Freshness) -> Listing {
        lock(&self.upstreams).listing(world, self.balancer, since, freshness)
    }

    /// Reports to the oracle that the balancer was notified of these entries.
    fn report_notified(&self, world: &World, entries: &[Entry]) {
        let now = world.now();
        let mut oracle = lock(&world.oracle);
        for entry in entries {
            let is_active = entry.state == State::Active;
            let start = entry.start.number;
            oracle.notified(now, self.balancer, entry.upstream, start, is_active);
        }
    }

    /// Serves, at each address that the agent moves to, until the run is over.
    ///
    /// # Errors
    /// Fails when the first address can't be bound.
    pub fn start(self: &Arc<Self>, world: &Arc<World>) -> Result<(), BindError> {
        let first = self.serve_address(world, 0)?;
        let (own, world) = (self.clone(), world.clone());
        tokio::spawn(async move { own.follow_moves(&world, first).await });
        Ok(())
    }

    /// Opens each address that the agent moves to, and closes the connections of the former address after a delay.
    async fn follow_moves(self: &Arc<Self>, world: &Arc<World>, first: watch::Sender<()>) {
        let mut moves = self.moves.subscribe();
        let mut current = first;
        loop {
            tokio::select! {
                changed = moves.changed() => if changed.is_err() { return },
                () = world.ended() => return,
            }
            let moved = *moves.borrow_and_update();
            match self.serve_address(world, moved) {
                Ok(next) => {
                    let old = std::mem::replace(&mut current, next);
                    tokio::spawn(async move {
                        tokio::time::sleep(OLD_ADDRESS_CLOSES_AFTER).await;
                        drop(old);
                    });
                }
                Err(error) => {
                    tracing::warn!(balancer = self.balancer, %error, "discovery agent could not move to its next address");
                }
            }
        }
    }

    /// Serves one address. After the agent has moved, the address refuses new connections; dropping the returned sender
    /// closes the open ones.
    fn serve_address(
        self: &Arc<Self>,
        world: &Arc<World>,
        moves: u16,
    ) -> Result<watch::Sender<()>, BindError> {
        let address = world.block.agent(self.balancer, moves);
        let (port_mode, mode) = watch::channel(PortMode::Open);
        let port = Port::bind(address, mode).map_err(BindError::at(address))?;
        let (closing, closes) = watch::channel(());
        let (own, world) = (self.clone(), world.clone());
        tokio::spawn(async move {
            own.accept_connections(&world, port, moves, &port_mode, &closes)
                .await;
        });
        Ok(closing)
    }

    async fn accept_connections(
        self: &Arc<Self>,
        world: &Arc<World>,
        mut port: Port,
        moves: u16,
        port_mode: &watch::Sender<PortMode>,
        closes: &watch::Receiver<()>,
    ) {
        let mut link_changes = self.link.changes();
        let mut current = self.moves.subscribe();
        loop {
            let has_moved = *current.borrow_and_update() > moves;
            let mode = match (has_moved, self.link.is_unresponsive()) {
                (true, _) => PortMode::Refusing,
                (false, true) => PortMode::Unresponsive,
                (false, false) => PortMode::Open,
            };
            port_mode.send_if_modified(|now| std::mem::replace(now, mode) != mode);
            let accepted = tokio::select! {
                accepted = port.accept() => accepted,
                _ = link_changes.changed() => continue,
                _ = current.changed() => continue,
                () = world.ended() => return,
            };
            let Ok(Some(stream)) = accepted else { return };
            let (own, world, closes) = (self.clone(), world.clone(), closes.clone());
            tokio::spawn(async move { own.serve_connection(&world, stream, closes).await });
        }
    }

    async fn serve_connection(
        self: &Arc<Self>,
        world: &Arc<World>,
        stream: TcpStream,
        mut closes: watch::Receiver<()>,
    ) {
        let stream = LinkedStream::new(stream, self.link.clone());
        let service = service_fn(|request| {
            let (own, world) = (self.clone(), world.clone());
            async move { Ok::<_, Infallible>(own.respond(&world, request).await) }
        });
        tokio::select! {
            // Connection errors are handled by the balancer.
            _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
            _ = closes.changed() => {}
        }
    }

    async fn respond<B>(&self, world: &World, request: Request<B>) -> Response<Full<Bytes>> {
        if request.uri().path() != "/api/targets" {
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        let query = request.uri().query().unwrap_or_default();
        let since = query_number(query, "since");
        let timeout_ms = query_number(query, "timeout_ms").unwrap_or(0);
        let max_wait = Duration::from_millis(timeout_ms.min(MAX_POLL_MS));
        self.long_poll(since, max_wait).await;
        let mode = *self.mode.borrow();
        let text = match mode {
            DiscoveryMode::Malformed => MALFORMED.to_string(),
            DiscoveryMode::Stale => self.listing(world, None, Freshness::Stale).text,
            DiscoveryMode::Normal | DiscoveryMode::Unresponsive => {
                let listing = self.listing(world, since, Freshness::Current);
                self.report_notified(world, &listing.entries);
                listing.text
            }
        };
        Response::new(Full::new(Bytes::from(text)))
    }

    /// Waits until the list has changed since a version, or for `max_wait`; does not return if the agent is
    /// unresponsive.
    async fn long_poll(&self, since: Option<u64>, max_wait: Duration) {
        let mut mode = self.mode.subscribe();
        let mode_at_start = *mode.borrow_and_update();
        if mode_at_start == DiscoveryMode::Unresponsive {
            // This request never gets a response, also after the mode has changed back.
            std::future::pending::<()>().await;
        }
        let mut changed = self.changed.subscribe();
        let Some(since) = since.filter(|_| mode_at_start == DiscoveryMode::Normal) else {
            return;
        };
        let update = async {
            tokio::select! {
                _ = changed.wait_for(|version| *version > since) => {}
                _ = mode.changed() => {}
            }
        };
        // After a timeout, the response contains no changes.
        let _ = timeout(max_wait, update).await;
        if *self.mode.borrow() == DiscoveryMode::Unresponsive {
            std::future::pending::<()>().await;
        }
    }
}

/// The value of a query parameter, if it is a number.
fn query_number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&');
    let value = pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    value.parse().ok()
}
