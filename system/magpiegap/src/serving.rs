//! Setup, start and shutdown of HTTP servers, and reading of request bodies.
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

/// Settings of an HTTP server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerSettings {
    /// Listen address.
    pub address: SocketAddr,
    /// Idle timeout of keep-alive connections, in seconds.
    pub keep_alive_s: u32,
    /// Grace period for requests in flight at shutdown, in seconds.
    pub grace_s: u32,
}

/// Builds a server that passes every request with one of `methods` to `handler`, whatever its path.
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

/// Starts a server in a new task.
///
/// # Errors
/// When the server can't listen on its address.
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

/// Handle to a running server.
pub(crate) struct RunningServer {
    shutdown: rocket::Shutdown,
    task: tokio::task::JoinHandle<Result<(), ProgramError>>,
}

impl RunningServer {
    /// Stops the server immediately and drops requests in flight.
    pub(crate) fn abort(self) {
        self.task.abort();
    }

    /// Stops accepting requests, and waits up to the grace period for those in flight.
    pub(crate) async fn shut_down(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}

/// Reads a request body of at most `max_bytes` bytes.
///
/// # Errors
/// The status to respond with, if the body is too long or incomplete.
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
