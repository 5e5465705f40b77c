//! Errors that end serving. Owns no state.
use crate::metrics::MetricsFileError;
use balancer_core::SettingsError;
use std::io;
use std::net::SocketAddr;
use tokio::task::JoinError;

/// Why serving could not start or has stopped.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ServeError {
    /// The runtime cannot be built.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The signal handlers cannot be installed.
    #[error("{0}")]
    Signals(#[source] io::Error),
    /// The decision module rejects the settings.
    #[error("{0}")]
    Settings(#[source] SettingsError),
    /// The thread of the metrics file cannot be started.
    #[error(transparent)]
    MetricsFile(#[from] MetricsFileError),
    /// The listener cannot be bound.
    #[error("listen: {address}: {cause}")]
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The I/O error.
        #[source]
        cause: io::Error,
    },
    /// The timer task has stopped, so requests would not time out.
    #[error("the timer task stopped: {0:?}")]
    TimersStopped(Result<(), JoinError>),
    /// The stream of SIGHUP signals has ended.
    #[error("the signal stream ended")]
    SignalsStopped,
}
