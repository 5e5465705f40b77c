//! Why a balancer's process could not be started.
use crate::error::FileError;
use std::io;
use thiserror::Error;

/// A balancer's process that could not be started.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// A file of the process could not be written.
    #[error(transparent)]
    File(#[from] FileError),
    /// The shell could not be started.
    #[error("{name}: failed to start {command:?}: {source}")]
    Spawn {
        /// The balancer's name.
        name: String,
        /// The shell command.
        command: String,
        /// The error of the operating system.
        source: io::Error,
    },
}
