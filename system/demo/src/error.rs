//! Errors of the demo; `main` prints them.
use std::io;

/// Errors of the demo.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// An operating system call failed.
    #[error("{operation}: {source}")]
    System {
        /// The operation that failed.
        operation: String,
        /// The underlying error.
        #[source]
        source: io::Error,
    },
    /// No coordinator accepted the configuration before the timeout.
    #[error("no coordinator accepted the configuration in time")]
    ConfigurationTimeout,
    /// A proxy did not become ready before the timeout.
    #[error("a proxy did not become ready in time")]
    ReadinessTimeout,
    /// The cluster has no process with this name.
    #[error("the cluster has no process named {0}")]
    UnknownProcess(String),
    /// Some jobs were not reported as succeeded.
    #[error("{0} jobs did not succeed")]
    UnfinishedJobs(usize),
}

impl DemoError {
    /// Returns a function that adds the failed operation to an I/O error.
    pub fn system(operation: impl Into<String>) -> impl FnOnce(io::Error) -> DemoError {
        let operation = operation.into();
        move |source| DemoError::System { operation, source }
    }
}
