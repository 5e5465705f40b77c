//! Why nothing is served. Owns no state.
use crate::metrics::MetricsFileError;
use balancer_core::SettingsError;
use std::io;
use std::net::SocketAddr;
use tokio::task::JoinError;

/// Why nothing is served, or not any more.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ServeError {
    /// The runtime cannot be built.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The signal handlers cannot be installed.
    #[error("{0}")]
    Signals(#[source] io::Error),
    /// The decision module refuses the settings.
    #[error("{0}")]
    Settings(#[source] SettingsError),
    /// The metrics file's thread cannot be started.
    #[error(transparent)]
    MetricsFile(#[from] MetricsFileError),
    /// The listener cannot be bound.
    #[error("listen: {address}: {cause}")]
    Listen {
        /// Where it was to listen.
        address: SocketAddr,
        /// What the system says.
        #[source]
        cause: io::Error,
    },
    /// The timers have stopped, without which no request would end.
    #[error("the timers stopped: {0:?}")]
    TimersStopped(Result<(), JoinError>),
    /// No signal can come any more.
    #[error("no signals any more")]
    SignalsStopped,
}
