//! Why the program ends.
use crate::settings::SettingsError;
use std::path::PathBuf;

/// Why the program can't go on.
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
    /// The system refuses something that is needed at the start.
    #[error("{what}: {source}")]
    System {
        /// What.
        what: &'static str,
        /// What the system said.
        source: std::io::Error,
    },
}
