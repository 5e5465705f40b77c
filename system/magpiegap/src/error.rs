//! Errors that terminate the program; their text is shown to the operator.
use crate::{operator_call::OperatorCallError, settings::SettingsError};
use std::{net::SocketAddr, path::PathBuf};

/// An error that terminates the program.
#[derive(Debug, thiserror::Error)]
pub enum ProgramError {
    /// The settings are missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The storage layer failed.
    #[error(transparent)]
    Store(#[from] magpiegap_storage::StoreError),
    /// The state on disk has a format that this build can't decode.
    #[error("cannot decode the state on disk: {0}")]
    State(#[from] magpiegap_protocol::DecodeError),
    /// The folder does not contain a coordinator's state.
    #[error("{0}: no state of a coordinator")]
    NoState(PathBuf),
    /// The consistency check of the state on disk found contradictions.
    #[error("the state is inconsistent: {0} contradictions")]
    Contradictions(usize),
    /// A server could not be started or has failed.
    #[error("server: {0}")]
    Server(String),
    /// A file named on the command line can't be read.
    #[error("server: {file}: {source}")]
    File {
        /// The path of the file.
        file: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A configuration is invalid.
    #[error("server: {file}: {source}")]
    Configuration {
        /// The path of the file.
        file: PathBuf,
        /// The validation error.
        source: magpiegap_jobs::ConfigurationError,
    },
    /// A coordinator's description of its state can't be decoded.
    #[error("server: {address}: {source}")]
    Description {
        /// The coordinator's address.
        address: SocketAddr,
        /// The decoding error.
        source: serde_json::Error,
    },
    /// A call to a coordinator or proxy failed.
    #[error("server: {0}")]
    Call(#[from] OperatorCallError),
    /// A system resource that is required to start or to run is not available.
    #[error("{context}: {source}")]
    System {
        /// The resource, for the error message.
        context: &'static str,
        /// The I/O error.
        source: std::io::Error,
    },
}
