//! The agent process: follows the feed of the control plane and serves it over loopback to the proxy on the same machine.
pub mod link;
mod server;

use crate::{
    endpoint,
    error::ProgramError,
    serving::{self, ServerSettings},
    settings::NodeSettings,
    signals::Signals,
};
use link::{FeedPublisher, Link};
use rocket::http::Method;
use std::{path::PathBuf, time::Duration};

/// The agent exits this long before the end of its grace period, in seconds. It keeps running until then because the
/// proxy on the same machine still needs the feed while it drains.
const SHUTDOWN_MARGIN_S: f64 = 0.7;

/// Runs an agent until SIGTERM.
///
/// # Errors
/// When the agent can't start.
pub(crate) async fn run(file: PathBuf, settings: NodeSettings) -> Result<(), ProgramError> {
    let mut signals = Signals::listen()?;
    let publisher = FeedPublisher::new();
    let address = settings.agent_address();
    let handler = server::FeedHandler::new(publisher.clone());
    let server_settings = ServerSettings {
        address,
        keep_alive_s: 60,
        grace_s: 1,
    };
    let server = serving::start(serving::server(server_settings, &[Method::Post], handler)).await?;
    let grace_s = settings.bounds.grace_s;
    let link = tokio::spawn(Link::new(endpoint::client(), file, &settings, publisher).run());
    // On SIGHUP nothing needs to be done: the link rereads the settings file while it has no connection to a coordinator.
    signals
        .wait_for_termination("SIGHUP: seeds are reread while disconnected")
        .await;
    let shutdown_delay_s = (grace_s - SHUTDOWN_MARGIN_S).max(0.0);
    tokio::time::sleep(Duration::from_secs_f64(shutdown_delay_s)).await;
    link.abort();
    server.abort();
    Ok(())
}
