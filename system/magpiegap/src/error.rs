//! The errors with which the program ends; their text is what the operator reads.
use crate::{operator_call::OperatorCallError, settings::SettingsError};
use std::{net::SocketAddr, path::PathBuf};

/// An error with which the program ends.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// The settings.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The state on disk.
    #[error(transparent)]
    Store(#[from] magpiegap_storage::StoreError),
    /// The state on disk is not one that this build can read.
    #[error("the state on disk can't be read: {0}")]
    State(#[from] magpiegap_protocol::DecodeError),
    /// There is no state of a coordinator.
    #[error("{0}: no state of a coordinator")]
    NoState(PathBuf),
    /// The state on disk contradicts itself.
    #[error("the state contradicts itself in {0} places")]
    Contradictions(usize),
    /// A server could not be started or has failed.
    #[error("server: {0}")]
    Server(String),
    /// A file of the operator can't be read.
    #[error("server: {file}: {source}")]
    File {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A configuration is invalid.
    #[error("server: {file}: {source}")]
    Configuration {
        /// The file.
        file: PathBuf,
        /// What is wrong.
        source: magpiegap_jobs::ConfigurationError,
    },
    /// A coordinator's description can't be read.
    #[error("server: {at}: {source}")]
    Description {
        /// The coordinator's address.
        at: SocketAddr,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// A call to a coordinator or proxy has not succeeded.
    #[error("server: {0}")]
    Call(#[from] OperatorCallError),
    /// The system refuses something that is needed at the start.
    #[error("{what}: {source}")]
    System {
        /// What.
        what: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
}
