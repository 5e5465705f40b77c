//! Why a stand-in could not start.
use crate::error::{BindError, FileError};
use std::env::VarError;
use std::num::ParseIntError;
use std::path::PathBuf;
use thiserror::Error;

/// A stand-in that could not start.
#[derive(Debug, Error)]
pub enum StandInError {
    /// The environment variable with the path of the configuration is not set.
    #[error("environment variable NODE_CONFIG: {0}")]
    Environment(#[source] VarError),
    /// The configuration could not be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The configuration is malformed.
    #[error("{}: invalid configuration: {source}", path.display())]
    Config {
        /// The file.
        path: PathBuf,
        /// Why it is invalid.
        source: serde_json::Error,
    },
    /// The seed is not a hexadecimal number.
    #[error("{}: seed is not a hexadecimal number: {source}", path.display())]
    Seed {
        /// The file.
        path: PathBuf,
        /// Why it is invalid.
        source: ParseIntError,
    },
    /// The listen address could not be bound.
    #[error(transparent)]
    Bind(#[from] BindError),
}
