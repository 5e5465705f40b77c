//! Why settings cannot be used. Texts are single lines that begin with the key at fault.
use balancer_core::SettingsError;

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// Not JSON, or not all of the text is.
    #[error(transparent)]
    Json(serde_json::Error),
    /// A value that cannot be read.
    #[error("{path}: {source}")]
    Value {
        /// Where the value stands.
        path: String,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A value with no meaning.
    #[error("{key}: unknown {what} {value:?}")]
    UnknownValue {
        /// The key.
        key: String,
        /// What the value chooses.
        what: &'static str,
        /// The value.
        value: String,
    },
    /// A list that is too long.
    #[error("{key}: {entries} entries; {max} at most")]
    TooManyEntries {
        /// The key.
        key: &'static str,
        /// Entries of the list.
        entries: usize,
        /// The most entries.
        max: usize,
    },
    /// Too many tenants for the classes: a number is stored for each pair.
    #[error("tenants: {tenants} for {classes} classes; {max} at most of both multiplied")]
    TooManyPairs {
        /// Entries of `tenants`.
        tenants: usize,
        /// Entries of `classes`.
        classes: usize,
        /// The most pairs.
        max: usize,
    },
    /// An objective that nothing can be divided by.
    #[error("classes[{class}].objective: must be at least {min}")]
    ObjectiveTooShort {
        /// Position of the class.
        class: usize,
        /// The least objective, in milliseconds.
        min: f64,
    },
    /// A number that the balancer refuses.
    #[error("{key}: must be {}", source.must)]
    Refused {
        /// The key.
        key: String,
        /// What the balancer says.
        source: SettingsError,
    },
    /// A dial timeout that is out of bounds.
    #[error("permissions.dial_timeout: must be a time of at least 0")]
    DialTimeout,
}
