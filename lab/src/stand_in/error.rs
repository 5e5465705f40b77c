//! Why a stand-in could not start.
use crate::error::{BindError, FileError};
use std::env::VarError;
use std::num::ParseIntError;
use std::path::PathBuf;
use thiserror::Error;

/// A stand-in that could not start.
#[derive(Debug, Error)]
pub enum StandInError {
    /// The environment names no configuration.
    #[error("NODE_CONFIG: {0}")]
    Environment(#[source] VarError),
    /// The configuration could not be read.
    #[error(transparent)]
    File(#[from] FileError),
    /// The configuration is not of its form.
    #[error("{}: {source}", path.display())]
    Config {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// The seed is no hexadecimal number.
    #[error("{}: seed: {source}", path.display())]
    Seed {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: ParseIntError,
    },
    /// The address could not be listened on.
    #[error(transparent)]
    Bind(#[from] BindError),
}
