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
use link::{Link, Places};
use magpiegap_protocol::Feed;
use rocket::http::Method;
use std::{path::PathBuf, sync::Arc, time::Duration};
use tokio::sync::watch;

/// How long before the end of its grace the agent ends, in seconds: until then the proxy beside it is fed.
const END_EARLY_S: f64 = 0.7;

/// How many coordinators are asked for news at the same time, so that the loss of one delays none.
const LINKS: usize = 2;

/// Runs an agent until it is told to end.
///
/// # Errors
/// When it can't start.
pub async fn run(file: PathBuf, settings: NodeSettings) -> Result<(), ProgramError> {
    let mut signals = Signals::heed()?;
    let (publish, feed) = watch::channel(Arc::new(Feed::default()));
    let address = settings.agent_address();
    let handler = server::FeedHandler::new(feed);
    let server = ServerSettings { address, keep_alive_s: 60, grace_s: 1 };
    let running = serving::start(serving::server(server, &[Method::Post], handler)).await?;
    let grace = settings.bounds.grace_s;
    let client = endpoint::client();
    let publish = Arc::new(publish);
    let places = Places::new(LINKS);
    let links: Vec<_> = (0..LINKS)
        .map(|link| Link::new(client.clone(), file.clone(), &settings, link, places.clone(), publish.clone()))
        .map(|link| tokio::spawn(link.run()))
        .collect();
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            // The link reads the settings file anew whenever it looks for a coordinator.
            _ = signals.hangup.recv() => log::info!("the settings may have changed"),
        }
    }
    let outlive = (grace - END_EARLY_S).max(0.0);
    tokio::time::sleep(Duration::from_secs_f64(outlive)).await;
    links.iter().for_each(tokio::task::JoinHandle::abort);
    running.abort();
    Ok(())
}
