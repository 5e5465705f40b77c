//! Errors of the demo. Their text is made here, and shown by the program's `main`.
use std::io;

/// Why the demo has ended early.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// The system refused something.
    #[error("{what}: {source}")]
    System {
        /// What was tried.
        what: String,
        /// What the system said.
        #[source]
        source: io::Error,
    },
    /// No coordinator has accepted the configuration in time.
    #[error("no coordinator takes the configuration")]
    ConfigurationTimeout,
    /// A proxy was not ready in time.
    #[error("a proxy does not get ready")]
    ReadinessTimeout,
    /// The cluster has no process of that name.
    #[error("there is no process {0}")]
    UnknownProcess(String),
    /// Jobs that were not shown as succeeded.
    #[error("{0} jobs are not done")]
    UnfinishedJobs(usize),
}

impl DemoError {
    /// Returns what names what was tried when the system refused it.
    pub fn system(what: impl Into<String>) -> impl FnOnce(io::Error) -> DemoError {
        let what = what.into();
        move |source| DemoError::System { what, source }
    }
}
