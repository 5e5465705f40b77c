//! The proxy process: accepts client requests, routes and admits them, and forwards them to the coordinators.
pub mod admission;
mod calls;
pub mod cluster_watch;
mod feed_follower;
mod frontend;
pub mod job_body;
pub mod pause_detector;
mod readiness;
mod service_admission;

use crate::{
    endpoint,
    error::ProgramError,
    serving::{self, RunningServer, ServerSettings},
    settings::NodeSettings,
    signals::Signals,
};
use cluster_watch::ClusterWatch;
use pause_detector::PauseDetector;
use rocket::http::Method;
use std::{
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

/// Time after SIGTERM for the platform to route clients to other proxies, in seconds.
const DRAIN_S: f64 = 2.3;
/// Grace period for requests in flight after draining, in seconds.
const SHUTDOWN_GRACE_S: u32 = 2;

/// Runs a proxy until SIGTERM.
///
/// # Errors
/// When the proxy can't start.
pub(crate) async fn run(_file: PathBuf, settings: NodeSettings) -> Result<(), ProgramError> {
    let mut signals = Signals::listen()?;
    let cluster = Arc::new(ClusterWatch::new());
    let client = endpoint::client();
    let follower = tokio::spawn(feed_follower::follow(
        client.clone(),
        settings.agent_address(),
        cluster.clone(),
    ));
    let readiness = start_readiness(&settings, cluster.clone()).await?;
    let frontend = start_frontend(&settings, client, cluster.clone()).await?;
    signals
        .wait_for_termination("SIGHUP: a running proxy does not reload its settings")
        .await;
    cluster.drain();
    let drain_s = DRAIN_S.min(settings.bounds.grace_s / 2.0).max(0.0);
    tokio::time::sleep(Duration::from_secs_f64(drain_s)).await;
    tokio::join!(shut_down(frontend), shut_down(readiness));
    follower.abort();
    Ok(())
}

async fn shut_down(server: Option<RunningServer>) {
    if let Some(server) = server {
        server.shut_down().await;
    }
}

async fn start_readiness(
    settings: &NodeSettings,
    cluster: Arc<ClusterWatch>,
) -> Result<Option<RunningServer>, ProgramError> {
    let Some(address) = settings.listen.readiness else {
        return Ok(None);
    };
    let server = ServerSettings {
        address,
        keep_alive_s: 60,
        grace_s: 1,
    };
    let handler = readiness::ReadinessHandler::new(cluster);
    serving::start(serving::server(server, &[Method::Get], handler))
        .await
        .map(Some)
}

async fn start_frontend(
    settings: &NodeSettings,
    client: reqwest::Client,
    cluster: Arc<ClusterWatch>,
) -> Result<Option<RunningServer>, ProgramError> {
    let Some(address) = settings.listen.frontend else {
        return Ok(None);
    };
    let server = ServerSettings {
        address,
        keep_alive_s: 60,
        grace_s: SHUTDOWN_GRACE_S,
    };
    let calls = calls::CoordinatorCalls::new(client, settings.request_port(), cluster.clone());
    let pauses = Arc::new(PauseDetector::new(Instant::now()));
    tokio::spawn(pauses.clone().run());
    let handler = frontend::FrontendHandler::new(calls, cluster, pauses);
    let methods = [
        Method::Get,
        Method::Post,
        Method::Delete,
        Method::Put,
        Method::Head,
        Method::Patch,
    ];
    serving::start(serving::server(server, &methods, handler))
        .await
        .map(Some)
}
