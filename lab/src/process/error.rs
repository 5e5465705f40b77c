//! Why a balancer's process could not be started.
use crate::error::FileError;
use std::io;
use thiserror::Error;

/// A balancer's process that could not be started.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// A file that it reads or writes could not be made.
    #[error(transparent)]
    File(#[from] FileError),
    /// The shell could not be started.
    #[error("{name}: {command}: {source}")]
    Spawn {
        /// The balancer's name.
        name: String,
        /// The command that was to become it.
        command: String,
        /// What the operating system says of it.
        source: io::Error,
    },
}
