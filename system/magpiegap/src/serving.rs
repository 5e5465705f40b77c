//! HTTP servers.
use crate::error::ProgramError;
use rocket::{
    config::{Config, Ident, LogLevel, Shutdown as ShutdownSettings},
    data::{ByteUnit, Data, ToByteUnit},
    http::{Method, Status},
    route::{Handler, Route},
    shield::Shield,
    Build, Rocket,
};
use std::{collections::HashSet, net::SocketAddr};

/// How a server is set up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// How long an open connection may wait for its next request, in seconds.
    pub keep_alive_s: u32,
    /// How long requests under way may go on when the server ends, in seconds.
    pub grace_s: u32,
}

/// A server in which one handler gets every request with one of the methods.
pub(crate) fn server(
    settings: ServerSettings,
    methods: &[Method],
    handler: impl Handler + Clone,
) -> Rocket<Build> {
    let config = Config {
        address: settings.address.ip(),
        port: settings.address.port(),
        keep_alive: settings.keep_alive_s,
        log_level: LogLevel::Off,
        cli_colors: false,
        ident: Ident::none(),
        shutdown: ShutdownSettings {
            ctrlc: false,
            signals: HashSet::new(),
            grace: settings.grace_s,
            mercy: 1,
            force: false,
            ..ShutdownSettings::default()
        },
        ..Config::release_default()
    };
    let route = |method: &Method| Route::new(*method, "/<path..>", handler.clone());
    let routes: Vec<Route> = methods.iter().map(route).collect();
    rocket::custom(config)
        .attach(Shield::new())
        .mount("/", routes)
}

/// Starts a server beside the caller's work.
///
/// # Errors
/// When it can't listen.
pub(crate) async fn start(server: Rocket<Build>) -> Result<Running, ProgramError> {
    let ready = server
        .ignite()
        .await
        .map_err(|error| ProgramError::Server(error.pretty_print().to_string()))?;
    let shutdown = ready.shutdown();
    let task = tokio::spawn(async move {
        match ready.launch().await {
            Ok(_) => Ok(()),
            Err(error) => Err(ProgramError::Server(error.kind().to_string())),
        }
    });
    Ok(Running { shutdown, task })
}

/// A server at work.
pub(crate) struct Running {
    shutdown: rocket::Shutdown,
    task: tokio::task::JoinHandle<Result<(), ProgramError>>,
}

impl Running {
    /// Ends at once.
    pub(crate) fn abort(self) {
        self.task.abort();
    }

    /// Takes no new requests, and waits for those under way.
    pub(crate) async fn end(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}

/// Reads a request's body.
///
/// # Errors
/// The status to answer with: too long, or broken off.
pub(crate) async fn read_body(data: Data<'_>, most: u64) -> Result<Vec<u8>, Status> {
    let limit: ByteUnit = most.saturating_add(1).bytes();
    let body = data
        .open(limit)
        .into_bytes()
        .await
        .map_err(|_| Status::BadRequest)?;
    if body.len() as u64 > most {
        return Err(Status::PayloadTooLarge);
    }
    Ok(body.into_inner())
}
