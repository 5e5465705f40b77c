//! The coordinator process: connects the state machine to the disk, peers, workers, the platform and HTTP servers.
mod control_plane;
mod disk;
mod driver;
mod events;
mod job_filter;
pub mod metrics;
mod peers;
mod platform_client;
mod request_server;
mod servers;
mod store;
mod worker_client;
pub mod worker_connections;

use crate::{
    clock::Clock, endpoint, error::ProgramError, settings::NodeSettings, signals::Signals,
};
use disk::DiskThread;
use driver::{Driver, IoHandles};
use events::{Event, RequestHandle};
use magpiegap_control::ControlSettings;
use magpiegap_coordinator::{Coordinator, CoordinatorSettings};
use magpiegap_protocol::{Member, ReplicaId};
use magpiegap_scheduler::SchedulerSettings;
use peers::Peers;
use rand::Rng;
use servers::Servers;
use std::{
    path::{Path, PathBuf},
    time::Duration,
};
use store::OpenedState;
use tokio::{
    sync::{
        mpsc::{self, UnboundedReceiver, UnboundedSender},
        oneshot,
    },
    task::JoinHandle,
};
use worker_connections::WorkerConnections;

/// Interval between heartbeats.
const HEARTBEAT_MS: u64 = 60;
/// A coordinator that sends nothing for this long is suspected to have failed.
const SUSPICION_TIMEOUT_MS: u64 = 320;
/// Percentage of the file descriptors that worker connections may use before idle ones are closed.
const WORKER_CONNECTIONS_PERCENT: usize = 70;
/// Lease duration of a role, from the last confirmation that the view is still current.
const LEASE_MS: u64 = 900;
/// Interval between requests for the platform's list of workers.
const LIST_INTERVAL_MS: u64 = 600;
/// Part of the grace period reserved for completing requests in flight after the handover, in seconds.
const SHUTDOWN_RESERVE_S: f64 = 2.5;
/// Minimum time after SIGTERM for the other coordinators to form a view without this one, in seconds.
const MIN_HANDOVER_S: f64 = 0.7;
/// Delay after the handover for callers to receive their responses.
const RESPONSE_GRACE: Duration = Duration::from_millis(300);

/// Runs a coordinator until SIGTERM.
///
/// # Errors
/// When the coordinator can't start, or its task panics.
pub(crate) async fn run(file: PathBuf, settings: NodeSettings) -> Result<(), ProgramError> {
    let mut signals = Signals::listen()?;
    let clock = Clock::start();
    let (events, mut inbox) = mpsc::unbounded_channel();
    let servers = Servers::start(&settings, RequestHandle::new(events.clone())).await?;
    let Some(mut opened) = store::open_when_readable(&settings, &mut inbox, &mut signals).await
    else {
        return Ok(());
    };
    listen_for_peers(&settings, events.clone()).await?;
    loop {
        let mut running = start(&settings, &file, clock, opened, events.clone(), inbox);
        tokio::select! {
            () = signals.wait_for_termination("SIGHUP: seeds are reread while peers are unreachable") => {
                log::info!("shutting down, handing over the roles");
                let _ = running.drain.send(());
                wait_for_handover(&settings, running.departed).await;
                servers.shut_down().await;
                running.driver.abort();
                return Ok(());
            }
            ended = &mut running.driver => match ended {
                Ok(returned) => inbox = returned,
                Err(error) => return Err(ProgramError::System {
                    context: "the coordinator",
                    source: error.into(),
                }),
            },
        }
        log::warn!("the disk is an outdated copy that is not needed; erasing it and rejoining with a new identity");
        wait_for_disk(running.disk, &mut inbox).await;
        match store::erase_when_writable(&settings, &mut inbox, &mut signals).await {
            Some(erased) => opened = erased,
            None => return Ok(()),
        }
    }
}

/// A running coordinator with one disk identity.
struct RunningCoordinator {
    /// Completes when the disk must be erased, and returns the event queue for the next coordinator.
    driver: JoinHandle<UnboundedReceiver<Event>>,
    /// Sending a message starts the handover of the roles.
    drain: UnboundedSender<()>,
    /// Receives a message once the other coordinators have formed a view without this one.
    departed: oneshot::Receiver<()>,
    /// Ends after the driver, when all disk work is complete.
    disk: std::thread::JoinHandle<()>,
}

fn start(
    settings: &NodeSettings,
    file: &Path,
    clock: Clock,
    opened: OpenedState,
    events: UnboundedSender<Event>,
    inbox: UnboundedReceiver<Event>,
) -> RunningCoordinator {
    let own = ReplicaId {
        member: Member {
            address: u32::from(settings.ip),
            disk: opened.durable.disk,
        },
        incarnation: rand::thread_rng().gen(),
    };
    let DiskThread { work, thread } = disk::start(opened.store, events.clone());
    let io = IoHandles {
        disk: work,
        peers: Peers::new(own, settings.peer_port()),
        client: endpoint::client(),
        workers: WorkerConnections::new(max_worker_connections(settings)),
        platform: settings.cloud.address,
    };
    let coordinator = Coordinator::new(
        coordinator_settings(settings, own),
        opened.durable,
        opened.machine,
        clock.now(),
    );
    let (departed, departed_receiver) = oneshot::channel();
    let driver = Driver::new(clock, own, coordinator, io, file.to_owned(), departed);
    let (drain, drain_requests) = mpsc::unbounded_channel();
    RunningCoordinator {
        driver: tokio::spawn(driver.run(events, inbox, drain_requests)),
        drain,
        departed: departed_receiver,
        disk: thread,
    }
}

/// Waits until the disk thread has ended, and rejects requests meanwhile. Its confirmations are discarded, because they
/// belong to the old disk identity.
async fn wait_for_disk(disk: std::thread::JoinHandle<()>, inbox: &mut UnboundedReceiver<Event>) {
    let ended = tokio::task::spawn_blocking(move || disk.join());
    tokio::select! {
        _ = ended => {}
        () = store::reject_requests(inbox) => {}
    }
    while let Ok(event) = inbox.try_recv() {
        store::reject_request(event);
    }
}

/// Waits until the other coordinators have formed a view without this one and callers have received their responses. If
/// they can't form one, this coordinator keeps running for as long as the grace period permits, because it may hold the
/// only other copy of some data.
async fn wait_for_handover(settings: &NodeSettings, departed: oneshot::Receiver<()>) {
    let handover_s = (settings.bounds.grace_s - SHUTDOWN_RESERVE_S).max(MIN_HANDOVER_S);
    if tokio::time::timeout(Duration::from_secs_f64(handover_s), departed)
        .await
        .is_err()
    {
        log::warn!(
            "shutting down before the other coordinators have formed a view without this one"
        );
    }
    tokio::time::sleep(RESPONSE_GRACE).await;
}

fn max_worker_connections(settings: &NodeSettings) -> usize {
    let descriptors = settings.limits.max_fds;
    descriptors.saturating_mul(WORKER_CONNECTIONS_PERCENT) / 100
}

async fn listen_for_peers(
    settings: &NodeSettings,
    events: UnboundedSender<Event>,
) -> Result<(), ProgramError> {
    peers::listen(settings.ip, settings.peer_port(), events)
        .await
        .map_err(|source| ProgramError::System {
            context: "the port for other coordinators",
            source,
        })
}

fn coordinator_settings(settings: &NodeSettings, own: ReplicaId) -> CoordinatorSettings {
    let bounds = settings.bounds;
    CoordinatorSettings {
        control: ControlSettings {
            own,
            seeds: settings.seed_addresses(),
            location: settings.location(),
            tolerance: settings.fault_tolerance.into(),
            heartbeat_interval_ms: HEARTBEAT_MS,
            suspicion_timeout_ms: SUSPICION_TIMEOUT_MS,
            random_seed: own.incarnation,
        },
        scheduler: SchedulerSettings {
            max_lease_ms: bounds.max_hold_ms as u64,
            gang_timeout_ms: bounds.gang_ms as u64,
            remote_factor: bounds.far_x.max(1.0),
            status_retention_ms: (bounds.status_s * 1000.0) as u64,
            role_lease_ms: LEASE_MS + SUSPICION_TIMEOUT_MS,
        },
        lease_ms: LEASE_MS,
        list_interval_ms: LIST_INTERVAL_MS,
    }
}
