//! The agent beside a proxy: keeps the link to the control plane, and feeds the proxy over loopback.
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

/// How long before the end of its grace the agent ends, in seconds: until then the proxy beside it is fed.
const END_EARLY_S: f64 = 0.7;

/// Runs an agent until it is told to end.
///
/// # Errors
/// When it can't start.
pub(crate) async fn run(file: PathBuf, settings: NodeSettings) -> Result<(), ProgramError> {
    let mut signals = Signals::heed()?;
    let published = Published::new();
    let address = settings.agent_address();
    let handler = server::FeedHandler::new(published.clone());
    let server = ServerSettings {
        address,
        keep_alive_s: 60,
        grace_s: 1,
    };
    let running = serving::start(serving::server(server, &[Method::Post], handler)).await?;
    let grace = settings.bounds.grace_s;
    let link = tokio::spawn(Link::new(endpoint::client(), file, &settings, published).run());
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            // The link reads the settings file anew whenever it looks for a coordinator.
            _ = signals.hangup.recv() => log::info!("the settings may have changed"),
        }
    }
    let outlive = (grace - END_EARLY_S).max(0.0);
    tokio::time::sleep(Duration::from_secs_f64(outlive)).await;
    link.abort();
    running.abort();
    Ok(())
}
