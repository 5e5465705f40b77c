//! The coordinator's process: disk, peers, workers, platform and servers around the state machine.
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
use driver::{Driver, Links};
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

/// Interval between two heartbeats.
const HEARTBEAT_MS: u64 = 60;
/// A coordinator that is not heard for this long is suspected to have failed.
const SUSPICION_TIMEOUT_MS: u64 = 320;
/// Percentage of the descriptors: with more connections to workers open, none stays idle.
const WORKER_CONNECTIONS_PERCENT: usize = 70;
/// How long a role is acted on after the last proof that the view stands.
const LEASE_MS: u64 = 900;
/// Interval between two readings of the platform's list.
const LIST_INTERVAL_MS: u64 = 600;
/// Part of the grace period that is left for requests in flight, in seconds.
const SHUTDOWN_RESERVE_S: f64 = 2.5;
/// After an order to end, the others get at least this long to go on without this coordinator, in seconds.
const MIN_HANDOVER_S: f64 = 0.7;
/// Once they do, callers get this long to read their responses.
const RESPONSE_GRACE: Duration = Duration::from_millis(300);

/// Runs a coordinator until the order to end.
///
/// # Errors
/// When it can't start.
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
            () = signals.until_terminated("settings may have changed") => {
                log::info!("shutting down, handing over the roles");
                let _ = running.drain.send(());
                wait_for_handover(&settings, running.departed).await;
                servers.shut_down().await;
                running.driving.abort();
                return Ok(());
            }
            ended = &mut running.driving => match ended {
                Ok(left) => inbox = left,
                Err(error) => return Err(ProgramError::System {
                    what: "the coordinator",
                    source: error.into(),
                }),
            },
        }
        log::warn!("the others serve without this disk: it is emptied, and this machine rejoins with another identity");
        wait_for_disk(running.disk, &mut inbox).await;
        match store::empty_when_writable(&settings, &mut inbox, &mut signals).await {
            Some(emptied) => opened = emptied,
            None => return Ok(()),
        }
    }
}

/// A coordinator that runs on one incarnation of its disk.
struct Running {
    /// Ends, with the events that are left, when the disk is to be emptied.
    driving: JoinHandle<UnboundedReceiver<Event>>,
    /// A message hands its roles over.
    drain: UnboundedSender<()>,
    /// Notified once the others go on without it.
    departed: oneshot::Receiver<()>,
    /// Ends after the driver, once all disk work is done.
    disk: std::thread::JoinHandle<()>,
}

fn start(
    settings: &NodeSettings,
    file: &Path,
    clock: Clock,
    opened: OpenedState,
    events: UnboundedSender<Event>,
    inbox: UnboundedReceiver<Event>,
) -> Running {
    let own = ReplicaId {
        member: Member {
            address: u32::from(settings.ip),
            disk: opened.durable.disk,
        },
        incarnation: rand::thread_rng().gen(),
    };
    let DiskThread { work, thread } = disk::start(opened.store, events.clone());
    let links = Links {
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
    let (departed, others_go_on) = oneshot::channel();
    let driver = Driver::new(clock, own, coordinator, links, file.to_owned(), departed);
    let (drain, drain_requests) = mpsc::unbounded_channel();
    Running {
        driving: tokio::spawn(driver.run(events, inbox, drain_requests)),
        drain,
        departed: others_go_on,
        disk: thread,
    }
}

/// Waits until a disk has done all its work; what it confirms is void. Requests are rejected meanwhile.
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

/// Waits until the others go on without this coordinator, and callers have their responses. A member that the others
/// can't do without stays as long as it may: it may hold what only one of them has.
async fn wait_for_handover(settings: &NodeSettings, others_go_on: oneshot::Receiver<()>) {
    let handover_s = (settings.bounds.grace_s - SHUTDOWN_RESERVE_S).max(MIN_HANDOVER_S);
    if tokio::time::timeout(Duration::from_secs_f64(handover_s), others_go_on)
        .await
        .is_err()
    {
        log::warn!("the others have not gone on without this coordinator");
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
            what: "the port for other coordinators",
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
            seed: own.incarnation,
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
