//! The coordinator's process: disk, peers, workers, platform and servers around the state machine.
mod control_plane;
mod disk;
mod driver;
mod events;
pub mod metrics;
mod peers;
mod platform_client;
mod request_server;
mod store;
mod worker_client;
pub mod worker_connections;

use crate::{
    clock::Clock,
    endpoint,
    error::ProgramError,
    serving::{self, ServerSettings},
    settings::NodeSettings,
    signals::Signals,
};
use driver::{Driver, Links};
use events::Handle;
use magpiegap_control::ControlSettings;
use magpiegap_coordinator::{Coordinator, CoordinatorSettings};
use magpiegap_protocol::{Member, ReplicaId};
use magpiegap_scheduler::SchedulerSettings;
use rand::Rng;
use rocket::http::Method;
use std::{
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    time::Duration,
};
use store::Opened;
use tokio::sync::{mpsc, oneshot};
use worker_connections::WorkerConnections;

/// Time between two heartbeats.
const HEARTBEAT_MS: u64 = 60;
/// A coordinator that is not heard for this long is taken for gone.
const SUSPECT_MS: u64 = 320;
/// Hundredths of the descriptors beyond which no connection to a worker is kept while it is not used.
const WORKERS_PERCENT: usize = 70;
/// How long a role is acted on after the last proof that the view stands.
const LEASE_MS: u64 = 900;
/// Time between two readings of the platform's list.
const LIST_EVERY_MS: u64 = 600;
/// Kept of the time that a process has to end, in seconds, for requests under way.
const END_RESERVE_S: f64 = 2.5;
/// After an order to end the others get at least this long to go on without this coordinator, in seconds.
const HAND_OVER_LEAST_S: f64 = 0.7;
/// Once they do, callers get this long to take their answers.
const LAST_ANSWERS: Duration = Duration::from_millis(300);

/// Runs a coordinator until it is told to end.
///
/// # Errors
/// When it can't start.
pub(crate) async fn run(file: PathBuf, settings: NodeSettings) -> Result<(), ProgramError> {
    let mut signals = Signals::heed()?;
    let clock = Clock::start();
    let (events, mut inbox) = mpsc::unbounded_channel();
    let handle = Handle::new(events.clone());
    let requests = start_request_server(&settings, handle.clone()).await?;
    let control_plane = start_control_plane(&settings, handle).await?;
    let Some(opened) = store::open_when_readable(&settings, &mut inbox, &mut signals).await else {
        return Ok(());
    };
    let Opened {
        store,
        durable,
        machine,
    } = opened;
    let own = ReplicaId {
        member: Member {
            address: u32::from(settings.ip),
            disk: durable.disk,
        },
        incarnation: rand::thread_rng().gen(),
    };
    let client = endpoint::client();
    let disk = disk::start(store, events.clone());
    let peers = peers::start(own, settings.ip, settings.peer_port(), events.clone())
        .await
        .map_err(|source| ProgramError::System {
            what: "the port for other coordinators",
            source,
        })?;
    let coordinator_settings = coordinator_settings(&settings, own);
    let coordinator = Coordinator::new(coordinator_settings, durable, machine, clock.now());
    let workers =
        WorkerConnections::new(settings.limits.max_fds.saturating_mul(WORKERS_PERCENT) / 100);
    let platform = settings.cloud.address;
    let links = Links {
        disk,
        peers,
        client,
        workers,
        platform,
    };
    let (left, others_go_on) = oneshot::channel();
    let driver = Driver::new(clock, own, coordinator, links, file, left);
    let (stop, stopped) = mpsc::unbounded_channel();
    let work = tokio::spawn(driver.run(events, inbox, stopped));
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            // They are read anew whenever too few of the others are heard.
            _ = signals.hangup.recv() => log::info!("the settings may have changed"),
        }
    }
    log::info!("ends, and hands its roles on");
    let _ = stop.send(());
    // A member that the others can't do without stays as long as it may: it may hold what only one of them has.
    let most = (settings.bounds.grace_s - END_RESERVE_S).max(HAND_OVER_LEAST_S);
    if tokio::time::timeout(Duration::from_secs_f64(most), others_go_on)
        .await
        .is_err()
    {
        log::warn!("the others have not gone on without this coordinator");
    }
    tokio::time::sleep(LAST_ANSWERS).await;
    requests.end().await;
    if let Some(server) = control_plane {
        server.end().await;
    }
    work.abort();
    Ok(())
}

async fn start_request_server(
    settings: &NodeSettings,
    handle: Handle,
) -> Result<serving::Running, ProgramError> {
    let address = SocketAddr::new(IpAddr::V4(settings.ip), settings.request_port());
    let server = ServerSettings {
        address,
        keep_alive_s: 60,
        grace_s: 1,
    };
    let handler = request_server::RequestHandler::new(handle);
    serving::start(serving::server(server, &[Method::Post], handler)).await
}

async fn start_control_plane(
    settings: &NodeSettings,
    handle: Handle,
) -> Result<Option<serving::Running>, ProgramError> {
    let Some(address) = settings.listen.control_plane else {
        return Ok(None);
    };
    let server = ServerSettings {
        address,
        keep_alive_s: 15,
        grace_s: 1,
    };
    let handler = control_plane::ControlPlaneHandler::new(handle, address.port());
    let server = serving::server(server, &[Method::Get, Method::Post], handler);
    serving::start(server).await.map(Some)
}

fn coordinator_settings(settings: &NodeSettings, own: ReplicaId) -> CoordinatorSettings {
    let bounds = settings.bounds;
    CoordinatorSettings {
        control: ControlSettings {
            own,
            seeds: settings.seed_addresses(),
            location: settings.location(),
            tolerance: settings.fault_tolerance.into(),
            heartbeat_ms: HEARTBEAT_MS,
            suspect_ms: SUSPECT_MS,
            seed: own.incarnation,
        },
        scheduler: SchedulerSettings {
            max_hold_ms: bounds.max_hold_ms as u64,
            gang_ms: bounds.gang_ms as u64,
            far_factor: bounds.far_x.max(1.0),
            status_ms: (bounds.status_s * 1000.0) as u64,
            lease_ms: LEASE_MS + SUSPECT_MS,
        },
        lease_ms: LEASE_MS,
        list_every_ms: LIST_EVERY_MS,
    }
}
