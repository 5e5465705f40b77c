//! The proxy: clients' requests, from their sockets to the coordinators and back.
pub mod admission;
mod calls;
pub mod feed;
mod frontend;
pub mod job_body;
mod readiness;

use crate::{
    endpoint,
    error::ProgramError,
    serving::{self, ServerSettings},
    settings::NodeSettings,
    signals::Signals,
};
use feed::Knowledge;
use rocket::http::Method;
use std::{path::PathBuf, sync::Arc, time::Duration};

/// After an order to end, the platform gets this long to send clients elsewhere, in seconds.
const TURN_AWAY_S: f64 = 2.3;
/// How long requests under way may go on after that, in seconds.
const FINISH_S: u32 = 2;

/// Runs a proxy until it is told to end.
///
/// # Errors
/// When it can't start.
pub(crate) async fn run(_file: PathBuf, settings: NodeSettings) -> Result<(), ProgramError> {
    let mut signals = Signals::heed()?;
    let knowledge = Arc::new(Knowledge::new());
    let client = endpoint::client();
    let follow = tokio::spawn(feed::follow(
        client.clone(),
        settings.agent_address(),
        knowledge.clone(),
    ));
    let readiness = start_readiness(&settings, knowledge.clone()).await?;
    let frontend = start_frontend(&settings, client, knowledge.clone()).await?;
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.hangup.recv() => log::info!("nothing in the settings of a proxy can change while it runs"),
        }
    }
    knowledge.begin_to_end();
    let turn_away = TURN_AWAY_S.min(settings.bounds.grace_s / 2.0).max(0.0);
    tokio::time::sleep(Duration::from_secs_f64(turn_away)).await;
    tokio::join!(end(frontend), end(readiness));
    follow.abort();
    Ok(())
}

async fn end(server: Option<serving::Running>) {
    if let Some(server) = server {
        server.end().await;
    }
}

async fn start_readiness(
    settings: &NodeSettings,
    knowledge: Arc<Knowledge>,
) -> Result<Option<serving::Running>, ProgramError> {
    let Some(address) = settings.listen.readiness else {
        return Ok(None);
    };
    let server = ServerSettings {
        address,
        keep_alive_s: 60,
        grace_s: 1,
    };
    let handler = readiness::ReadinessHandler::new(knowledge);
    serving::start(serving::server(server, &[Method::Get], handler))
        .await
        .map(Some)
}

async fn start_frontend(
    settings: &NodeSettings,
    client: reqwest::Client,
    knowledge: Arc<Knowledge>,
) -> Result<Option<serving::Running>, ProgramError> {
    let Some(address) = settings.listen.frontend else {
        return Ok(None);
    };
    let server = ServerSettings {
        address,
        keep_alive_s: 60,
        grace_s: FINISH_S,
    };
    let calls = calls::Calls::new(client, settings.request_port(), knowledge.clone());
    let handler = frontend::FrontendHandler::new(calls, knowledge);
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
