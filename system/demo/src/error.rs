//! What can go wrong with the demo.

/// Why the demo has ended early.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// Something that the system refused.
    #[error("{what}: {source}")]
    System {
        /// What was tried.
        what: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The cluster did not do what it should in time.
    #[error("{0}")]
    Cluster(String),
}

impl DemoError {
    /// Names what was tried when the system refused it.
    pub fn system(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> DemoError {
        let what = what.into();
        move |source| DemoError::System { what, source }
    }
}
