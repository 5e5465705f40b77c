//! Why a fault could not be injected.
use crate::error::FileError;
use crate::process::ProcessError;
use thiserror::Error;
use tokio::task::JoinError;

/// A fault that could not be carried out or taken back.
#[derive(Debug, Error)]
pub(super) enum FaultError {
    /// A balancer's process could not be started, or its files not be written.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A file of a balancer's state, configuration or disk faults could not be written.
    #[error(transparent)]
    File(#[from] FileError),
    /// The task that injected one fault of several panicked or was aborted.
    #[error(transparent)]
    Task(#[from] JoinError),
}
