//! HTTP servers: how they are set up, started and shut down, and how bodies are read.
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

/// The settings of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Idle timeout of a connection, in seconds.
    pub keep_alive_s: u32,
    /// Grace period of requests in flight when the server shuts down, in seconds.
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

/// Starts a server on a task of its own.
///
/// # Errors
/// When it can't listen.
pub(crate) async fn start(server: Rocket<Build>) -> Result<RunningServer, ProgramError> {
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
    Ok(RunningServer { shutdown, task })
}

/// A server that runs.
pub(crate) struct RunningServer {
    shutdown: rocket::Shutdown,
    task: tokio::task::JoinHandle<Result<(), ProgramError>>,
}

impl RunningServer {
    /// Ends at once, with requests in flight.
    pub(crate) fn abort(self) {
        self.task.abort();
    }

    /// Accepts no new requests, and waits for those in flight up to the grace period.
    pub(crate) async fn shut_down(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}

/// Reads a request's body of at max_bytes `max_bytes`.
///
/// # Errors
/// The status to respond with: too long, or broken off.
pub(crate) async fn read_body(data: Data<'_>, max_bytes: u64) -> Result<Vec<u8>, Status> {
    let limit: ByteUnit = max_bytes.saturating_add(1).bytes();
    let body = data
        .open(limit)
        .into_bytes()
        .await
        .map_err(|_| Status::BadRequest)?;
    if body.len() as u64 > max_bytes {
        return Err(Status::PayloadTooLarge);
    }
    Ok(body.into_inner())
}
