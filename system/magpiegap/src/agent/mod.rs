//! The agent beside a proxy: follows the feed of the control plane, and serves it to the proxy over loopback.
pub mod link;
mod server;

use crate::{
    endpoint,
    error::ProgramError,
    serving::{self, ServerSettings},
    settings::NodeSettings,
    signals::Signals,
};
use link::{Link, Published};
use rocket::http::Method;
use std::{path::PathBuf, time::Duration};

/// How long before the end of its grace period the agent ends, in seconds: until then it serves the proxy beside it.
const END_EARLY_S: f64 = 0.7;

/// Runs an agent until the order to end.
///
/// # Errors
/// When it can't start.
pub(crate) async fn run(file: PathBuf, settings: NodeSettings) -> Result<(), ProgramError> {
    let mut signals = Signals::listen()?;
    let published = Published::new();
    let address = settings.agent_address();
    let handler = server::FeedHandler::new(published.clone());
    let server_settings = ServerSettings {
        address,
        keep_alive_s: 60,
        grace_s: 1,
    };
    let server = serving::start(serving::server(server_settings, &[Method::Post], handler)).await?;
    let grace_s = settings.bounds.grace_s;
    let link = tokio::spawn(Link::new(endpoint::client(), file, &settings, published).run());
    // The link reads the settings file again whenever it looks for a coordinator.
    signals.until_terminated("settings may have changed").await;
    let outlive_s = (grace_s - END_EARLY_S).max(0.0);
    tokio::time::sleep(Duration::from_secs_f64(outlive_s)).await;
    link.abort();
    server.abort();
    Ok(())
}
