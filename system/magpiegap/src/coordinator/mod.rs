//! The coordinator's process: disk, peers, workers, platform and servers around the state machine.
mod control_plane;
mod disk;
mod driver;
mod events;
pub mod metrics;
mod peers;
mod platform_client;
mod request_server;
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
use magpiegap_control::{ControlSettings, DurableState, Snapshot};
use magpiegap_coordinator::CoordinatorSettings;
use magpiegap_protocol::{encode, Member, Replica};
use magpiegap_scheduler::SchedulerSettings;
use magpiegap_storage::{FolderDirectory, Store};
use rand::Rng;
use rocket::http::Method;
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};
use tokio::sync::mpsc;
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
/// After an order to end the others get this long to go on without this coordinator.
const HAND_OVER: Duration = Duration::from_millis(700);

/// Runs a coordinator until it is told to end.
///
/// # Errors
/// When it can't start, or its state on disk can't be read.
pub async fn run(settings: NodeSettings) -> Result<(), ProgramError> {
    let mut signals = Signals::heed()?;
    let clock = Clock::start();
    let (mut store, durable) = open_store(&settings)?;
    let own = Replica {
        member: Member { address: u32::from(settings.ip), disk: durable.disk },
        boot: rand::thread_rng().gen(),
    };
    // The name of this disk must last before anyone hears of it; and what was read may be there only because the process
    // before was killed, not synced: from here on all of it counts as kept, so it is written anew and synced.
    store.checkpoint(&encode(&durable))?;
    let (events, inbox) = mpsc::unbounded_channel();
    let handle = Handle::new(events.clone());
    let client = endpoint::client();
    let disk = disk::start(store, events.clone());
    let peers = peers::start(own, settings.ip, settings.peer_port(), events.clone())
        .await
        .map_err(|source| ProgramError::System { what: "the port for other coordinators", source })?;
    let requests = start_request_server(&settings, handle.clone()).await?;
    let control_plane = start_control_plane(&settings, handle).await?;
    let coordinator_settings = coordinator_settings(&settings, own);
    let workers = WorkerConnections::new(settings.limits.max_fds.saturating_mul(WORKERS_PERCENT) / 100);
    let platform = settings.cloud.address;
    let links = Links { disk, peers, client, workers, platform };
    let driver = Driver::new(clock, coordinator_settings, &durable, links);
    let (stop, stopped) = mpsc::unbounded_channel();
    let work = tokio::spawn(driver.run(events, inbox, stopped));
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.hangup.recv() => log::info!("settings are read at the start only"),
        }
    }
    log::info!("ends, and hands its roles on");
    let _ = stop.send(());
    tokio::time::sleep(HAND_OVER).await;
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
    let server = ServerSettings { address, keep_alive_s: 60, grace_s: 1 };
    let handler = request_server::RequestHandler::new(handle);
    serving::start(serving::server(server, &[Method::Post], handler)).await
}

async fn start_control_plane(
    settings: &NodeSettings,
    handle: Handle,
) -> Result<Option<serving::Running>, ProgramError> {
    let Some(address) = settings.listen.control_plane else { return Ok(None) };
    let server = ServerSettings { address, keep_alive_s: 15, grace_s: 1 };
    let handler = control_plane::ControlPlaneHandler::new(handle, address.port());
    let server = serving::server(server, &[Method::Get, Method::Post], handler);
    serving::start(server).await.map(Some)
}

/// Opens the state on disk. An empty disk gets a name of its own, unless the whole system starts for the first time.
fn open_store(settings: &NodeSettings) -> Result<(Store<FolderDirectory>, DurableState), ProgramError> {
    let folder = settings.data_dir.clone().unwrap_or_else(|| std::env::temp_dir().join("magpiegap"));
    let directory = FolderDirectory::new(&folder)
        .map_err(|source| ProgramError::System { what: "the data folder", source })?;
    let (store, recovered) = Store::open(directory)?;
    let Some(snapshot) = recovered.snapshot else {
        return Ok((store, empty_state(settings)));
    };
    let state = Snapshot::recover(&snapshot, &recovered.records)?;
    Ok((store, state))
}

fn empty_state(settings: &NodeSettings) -> DurableState {
    let voter = |address: u32| Member { address, disk: 0 };
    let mut voters: Vec<Member> = settings.seed_addresses().into_iter().map(voter).collect();
    voters.sort_unstable();
    voters.dedup();
    let state = encode(&magpiegap_jobs::State::default());
    if settings.bootstrap {
        return Snapshot::empty(0, Some(0), voters, state);
    }
    // A disk that was lost has forgotten its votes: it comes back as another member, and knows nothing.
    let disk = rand::thread_rng().gen::<u64>().max(1);
    Snapshot::empty(disk, None, Vec::new(), state)
}

fn coordinator_settings(settings: &NodeSettings, own: Replica) -> CoordinatorSettings {
    let bounds = settings.bounds;
    CoordinatorSettings {
        control: ControlSettings {
            own,
            seeds: settings.seed_addresses(),
            location: settings.location(),
            tolerance: settings.fault_tolerance.into(),
            heartbeat_ms: HEARTBEAT_MS,
            suspect_ms: SUSPECT_MS,
            seed: own.boot,
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
