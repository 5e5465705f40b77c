//! Why a fault could not be injected.
use crate::error::FileError;
use crate::process::ProcessError;
use thiserror::Error;
use tokio::task::JoinError;

/// A fault that could not be injected or reverted.
#[derive(Debug, Error)]
pub(super) enum FaultError {
    /// A balancer's process could not be started, or its files could not be written.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A file of a balancer's state, configuration or disk faults could not be written.
    #[error(transparent)]
    File(#[from] FileError),
    /// The task that injected one fault of several panicked or was aborted.
    #[error(transparent)]
    Task(#[from] JoinError),
}
