//! Communication with the tier's other replicas: drives the `balancer-gossip` protocol, which has no I/O, with a socket
//! and a clock. Decides nothing. Owns the protocol state.
mod addresses;
mod config;
mod convert;
mod socket;

pub(crate) use addresses::{Addresses, UnparsedAddresses};
pub(crate) use config::TierConfig;
pub use convert::tier_update;

use crate::connection_counts::ConnectionCounts;
use crate::driver::Handle;
use crate::metrics::TierMetrics;
use crate::options::Options;
use addresses::AddressesError;
use balancer_gossip::{ConfigError, Millis, Peers};
use balancer_settings::Deployment;
use socket::{PeerSocket, Pending};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Interval of tier updates to the decision module, in milliseconds.
const UPDATE_INTERVAL: Millis = 100.0;
/// Interval at which this replica's observations are passed to the protocol, in milliseconds.
const OBSERVATION_INTERVAL: Millis = 200.0;
/// Maximum number of datagrams received in one turn of the loop.
const MAX_DATAGRAMS_PER_TURN: usize = 32;
/// Pause between two turns, so that a flood of datagrams leaves time for requests.
const TURN_INTERVAL: Duration = Duration::from_millis(1);

/// Why a replica cannot communicate with its tier.
#[derive(Debug, thiserror::Error)]
pub(crate) enum TierError {
    /// The settings do not allow datagrams.
    #[error("settings.permissions.peers: datagrams are not allowed")]
    NotPermitted,
    /// The addresses are invalid.
    #[error(transparent)]
    Addresses(#[from] AddressesError),
    /// The protocol's configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The socket cannot be opened.
    #[error("peer_listen: {listen}: {cause}")]
    Socket {
        /// The address to listen on.
        listen: SocketAddr,
        /// The I/O error.
        #[source]
        cause: io::Error,
    },
}

/// Returns the addresses of the tier's replicas.
///
/// # Errors
/// Fails if peers are not allowed, or names the invalid address.
pub(crate) fn addresses(
    deployment: &Deployment,
    unparsed: &UnparsedAddresses,
) -> Result<Addresses, TierError> {
    if !deployment.peers {
        return Err(TierError::NotPermitted);
    }
    Ok(unparsed.parse(deployment.policy.balancers)?)
}

/// This replica's communication with its tier. Clones share it.
#[derive(Clone)]
pub(crate) struct Tier(Rc<Shared>);

struct Shared {
    start: Instant,
    socket: PeerSocket,
    peers: RefCell<Peers>,
}

/// When periodic work is due, on the tier's clock.
struct Schedule {
    update_at: Millis,
    observe_at: Millis,
}

impl Tier {
    /// Opens the socket. The protocol runs only while [`Tier::run`] runs.
    pub(crate) fn start(tier: TierConfig<'_>) -> Result<Tier, TierError> {
        let addresses = addresses(tier.deployment, tier.addresses)?;
        let listen = addresses.listen;
        let start = Instant::now();
        let config = config::config(&tier);
        let (replicas, versions) = (config.candidates, config.supported_versions);
        let peers = Peers::new(config, 0.0)?;
        let socket_error = |cause| TierError::Socket { listen, cause };
        let socket = PeerSocket::bind(addresses).map_err(socket_error)?;
        let address = socket.local_addr().map_err(socket_error)?;
        tracing::info!(
            target: "peers", event = "peers_on", address = %address, copies = replicas, least = versions.min,
            most = versions.max, "peers: one of {replicas}, listening on {address}, supporting versions {} to {}",
            versions.min, versions.max
        );
        Ok(Tier(Rc::new(Shared {
            start,
            socket,
            peers: RefCell::new(peers),
        })))
    }

    /// Runs the protocol forever: passes tier updates to the driver, and the driver's observations to the protocol.
    pub(crate) async fn run(
        self,
        driver: Handle,
        connection_counts: ConnectionCounts,
        options: watch::Receiver<Options>,
    ) {
        let mut schedule = Schedule {
            update_at: UPDATE_INTERVAL,
            observe_at: 0.0,
        };
        loop {
            let pending = self.receive();
            let now = self.now();
            if now >= schedule.observe_at {
                schedule.observe_at = now + OBSERVATION_INTERVAL;
                self.observe(now, &driver, &connection_counts);
            }
            self.handle_timeout(now);
            self.send_and_log();
            if now >= schedule.update_at {
                schedule.update_at = now + UPDATE_INTERVAL;
                self.update(now, &driver, &options);
            }
            self.wait(pending, &schedule).await;
        }
    }

    fn receive(&self) -> Pending {
        let Shared { socket, peers, .. } = &*self.0;
        socket.receive(
            MAX_DATAGRAMS_PER_TURN,
            || self.now(),
            |at, from, bytes| peers.borrow_mut().handle_datagram(at, from, bytes),
        )
    }

    fn observe(&self, now: Millis, driver: &Handle, connection_counts: &ConnectionCounts) {
        let counts = connection_counts.by_tenant();
        let observations = convert::observations(driver.observed(), &counts);
        self.0
            .peers
            .borrow_mut()
            .handle_observation(now, observations);
    }

    fn handle_timeout(&self, now: Millis) {
        let mut peers = self.0.peers.borrow_mut();
        if peers.next_timeout().is_some_and(|at| at <= now) {
            peers.on_timeout(now);
        }
    }

    fn update(&self, now: Millis, driver: &Handle, options: &watch::Receiver<Options>) {
        let state = self.0.peers.borrow_mut().tier_state(now);
        let update = convert::tier_update(state, &options.borrow().peers);
        driver.handle_tier_update(update);
    }

    /// Waits until there may be work.
    async fn wait(&self, pending: Pending, schedule: &Schedule) {
        if pending == Pending::Maybe {
            tokio::time::sleep(TURN_INTERVAL).await;
            return;
        }
        let timeout = self.0.peers.borrow().next_timeout();
        let next = timeout
            .unwrap_or(f64::INFINITY)
            .min(schedule.update_at)
            .min(schedule.observe_at);
        let wake_at = self.0.start + Duration::from_secs_f64(next.max(0.0) / 1000.0);
        // Leaves time for requests, even if protocol timers are due continuously.
        let wake_at = wake_at.max(Instant::now() + TURN_INTERVAL);
        tokio::select! {
            () = self.0.socket.readable() => {}
            () = sleep_until(wake_at) => {}
        }
    }

    /// Notifies the other replicas that this one is shutting down.
    pub(crate) fn leave(&self) {
        self.0.peers.borrow_mut().leave(self.now());
        self.send_and_log();
    }

    /// Returns the tier's metrics.
    pub(crate) fn metrics(&self) -> TierMetrics {
        let mut peers = self.0.peers.borrow_mut();
        let state = peers.tier_state(self.now());
        convert::tier_metrics(&state, peers.counts(), self.0.socket.dropped())
    }

    fn send_and_log(&self) {
        let mut peers = self.0.peers.borrow_mut();
        while let Some(datagram) = peers.poll_transmit() {
            self.0.socket.send(&datagram);
        }
        while let Some(notification) = peers.poll_notification() {
            tracing::info!(target: "peers", event = "peers_told", "peers: {}", notification.0);
        }
    }

    fn now(&self) -> Millis {
        self.0.start.elapsed().as_secs_f64() * 1000.0
    }
}
