//! The components of a serving balancer, created and started in order. Owns them until the shutdown.
use super::error::ServeError;
use crate::clients::{Phase, Server};
use crate::config::Config;
use crate::connection_counts::ConnectionCounts;
use crate::discovery::{Discovery, Mode};
use crate::driver::{self, DriverConfig, Handle};
use crate::listing::{Listing, Names};
use crate::log::Logging;
use crate::metrics::{Metrics, MetricsFile, MetricsFileError};
use crate::metrics_reporter::MetricsReporter;
use crate::options::Options;
use crate::peers::{Tier, TierConfig};
use crate::recovery::{self, Recovered, Restored, Start};
use crate::sockets::Sockets;
use crate::upstreams::Transport;
use balancer_core::{Balancer, Learned, Millis};
use balancer_settings::Deployment;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Maximum idle timeout of upstream connections, in milliseconds: one day.
const MAX_IDLE_CLOSE: Millis = 86_400_000.0;

/// The components of a serving balancer.
pub(super) struct Components<'a> {
    /// The balancer's name.
    pub name: String,
    /// The handle to the driver.
    pub handle: Handle,
    /// The task that fires the driver's timers.
    pub timers: JoinHandle<()>,
    /// The task that serves clients.
    pub server: JoinHandle<()>,
    /// The shutdown phase, which client connections observe.
    pub phase: watch::Sender<Phase>,
    /// The tier, if this replica communicates with its peers.
    pub tier: Option<Tier>,
    /// Reports metrics, if they are on.
    pub reporter: Option<MetricsReporter<'a>>,
    /// The current options.
    pub options: watch::Sender<Options>,
    /// The address of discovery.
    pub discovery_address: watch::Sender<SocketAddr>,
    /// The longest deadline of all classes.
    pub longest_deadline: Millis,
}

impl<'a> Components<'a> {
    /// Starts all components.
    ///
    /// # Errors
    /// Fails if a component cannot be started.
    pub(super) async fn start(
        clock: ClockStart,
        config: Config,
        options: Options,
        logging: &'a Logging,
    ) -> Result<Components<'a>, ServeError> {
        let sockets = Sockets::new(config.sockets);
        let Prepared {
            handle,
            file,
            list,
            learned,
            start,
        } = Prepared::new(clock, &config, &options, sockets.clone())?;
        let bound = BoundListener::bind(config.listen).await?;
        let timers = spawn_timers(&handle);
        handle.restore_endpoints(list.as_ref());
        if let Some(learned) = learned {
            handle.restore_learned(learned.value, learned.age_ms);
        }
        let discovery_address = spawn_discovery(&handle, &config, list.as_ref());
        let counts = ConnectionCounts::new(config.deployment.policy.tenants.len().max(1) + 1);
        let tier = start_tier(&config, &options, start);
        let longest_deadline = longest_deadline(&config.deployment);
        let (phase, phases) = watch::channel(Phase::Serving);
        let deployment = config.deployment;
        let server = Server::new(handle.clone(), deployment, sockets, phases, counts.clone());
        let server = tokio::task::spawn_local(server.run(bound.listener));
        let (name, address) = (config.name, bound.address);
        tracing::info!(target: "run", event = "serving", address = %address, "{name}: serving on {address}");
        let has_metrics = options.metrics.is_enabled();
        let (options, changes) = watch::channel(options);
        if let Some(tier) = tier.clone() {
            tokio::task::spawn_local(tier.run(handle.clone(), counts, changes.clone()));
        }
        let reporter = has_metrics.then(|| MetricsReporter {
            handle: handle.clone(),
            tier: tier.clone(),
            options: changes,
            logging,
            file,
        });
        Ok(Components {
            name,
            handle,
            timers,
            server,
            phase,
            tier,
            reporter,
            options,
            discovery_address,
            longest_deadline,
        })
    }
}

/// The time of the start on both clocks.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockStart {
    at: Instant,
    unix_ms: Millis,
}

impl ClockStart {
    /// Reads both clocks.
    pub(super) fn now() -> ClockStart {
        ClockStart {
            at: Instant::now(),
            unix_ms: driver::unix_ms(),
        }
    }
}

/// The driver, and restored state that it has not received yet.
struct Prepared {
    handle: Handle,
    file: Option<MetricsFile>,
    list: Option<Listing>,
    learned: Option<Restored<Learned>>,
    start: Option<Start>,
}

impl Prepared {
    fn new(
        clock: ClockStart,
        config: &Config,
        options: &Options,
        sockets: Sockets,
    ) -> Result<Prepared, ServeError> {
        let deployment = &config.deployment;
        let balancer = Balancer::new(deployment.policy.clone(), config.seed, clock.unix_ms)
            .map_err(ServeError::Settings)?;
        let file = metrics_file(options)?;
        let recovered = recover(config, options);
        let metrics = options.metrics.is_enabled().then(|| {
            let local_zone = deployment.policy.zone;
            Metrics::new(&config.name, &deployment.zones, local_zone, recovered.start)
        });
        let list = newest_list(config, recovered.list);
        let handle = Handle::new(DriverConfig {
            balancer,
            start: clock.at,
            start_ms: clock.unix_ms,
            transport: transport(deployment, sockets),
            max_open: usize::try_from(deployment.max_open).unwrap_or(usize::MAX),
            metrics,
            recovery: recovered.recovery,
        });
        Ok(Prepared {
            handle,
            file,
            list,
            learned: recovered.learned,
            start: recovered.start,
        })
    }
}

fn transport(deployment: &Deployment, sockets: Sockets) -> Transport {
    let duration = |ms: Millis| Duration::from_secs_f64(ms / 1000.0);
    Transport::new(
        duration(deployment.dial_timeout),
        duration(deployment.policy.idle_close.min(MAX_IDLE_CLOSE)),
        sockets,
    )
}

fn metrics_file(options: &Options) -> Result<Option<MetricsFile>, MetricsFileError> {
    let dir = options.metrics.dir.as_path();
    if dir.as_os_str().is_empty() {
        return Ok(None);
    }
    MetricsFile::start(dir).map(Some)
}

/// Recovers the state of an earlier run, if it is persisted.
fn recover(config: &Config, options: &Options) -> Recovered {
    if !options.recovery.is_enabled() {
        return Recovered::default();
    }
    let deployment = &config.deployment;
    let owner = recovery::owner(&config.name, deployment);
    let names = Names::of(deployment);
    recovery::open(&options.recovery, owner, &names, &deployment.policy)
}

/// Returns the newer one of the configured list and the saved list.
fn newest_list(config: &Config, saved: Option<Listing>) -> Option<Listing> {
    if let Some(error) = &config.known_error {
        let name = &config.name;
        tracing::warn!(target: "run", event = "known_refused", error, "{name}: {error}; starting without it");
    }
    match (&config.known, saved) {
        (Some(known), Some(saved)) if saved.version > known.version => Some(saved),
        (None, saved) => saved,
        (Some(known), _) => Some(known.clone()),
    }
}

/// A bound listener and its address.
struct BoundListener {
    listener: TcpListener,
    address: SocketAddr,
}

impl BoundListener {
    async fn bind(address: SocketAddr) -> Result<BoundListener, ServeError> {
        let listen_error = |cause| ServeError::Listen { address, cause };
        let listener = TcpListener::bind(address).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        Ok(BoundListener { listener, address })
    }
}

fn spawn_timers(handle: &Handle) -> JoinHandle<()> {
    let handle = handle.clone();
    tokio::task::spawn_local(async move { handle.run().await })
}

/// Starts the watch of the list, and returns the channel for changing the address of discovery.
fn spawn_discovery(
    handle: &Handle,
    config: &Config,
    list: Option<&Listing>,
) -> watch::Sender<SocketAddr> {
    let (address, addresses) = watch::channel(config.discovery);
    // An empty list is no base for changes: requests the full list.
    let version = list
        .filter(|list| !list.entries.is_empty())
        .map(|list| list.version);
    let mode = if config.deployment.policy.subscribes {
        Mode::OnRequest
    } else {
        Mode::Pushed
    };
    let watcher = Discovery::new(addresses, Names::of(&config.deployment), version);
    tokio::task::spawn_local(watcher.run(handle.clone(), mode));
    address
}

/// Starts communication with the tier. On failure, logs the error and continues without it.
fn start_tier(config: &Config, options: &Options, start: Option<Start>) -> Option<Tier> {
    if !options.peers.on {
        return None;
    }
    let tier = Tier::start(TierConfig {
        deployment: &config.deployment,
        addresses: &config.peers,
        options: &options.peers,
        incarnation: start.unwrap_or_else(Start::not_persisted).incarnation,
        seed: config.seed,
    });
    match tier {
        Ok(tier) => Some(tier),
        Err(error) => {
            let error = error.to_string();
            tracing::warn!(target: "peers", event = "peers_off", error, "peers: {error}; continuing without it");
            None
        }
    }
}

fn longest_deadline(deployment: &Deployment) -> Millis {
    let classes = deployment.policy.classes.iter();
    classes.map(|class| class.deadline).fold(0.0, f64::max)
}
