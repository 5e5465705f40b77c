//! Errors of reading settings. Each message is a single line that starts with the invalid key, if there is one.
use balancer_core::SettingsError;

/// Why settings were refused.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// The text is not a JSON object, lacks a required key at its top level, or is followed by other text.
    #[error(transparent)]
    Json(serde_json::Error),
    /// A value has the wrong type, or lacks a required key.
    #[error("{path}: {source}")]
    Value {
        /// Path of the value's key.
        path: String,
        /// The error from the JSON parser.
        source: serde_json::Error,
    },
    /// A value is none of the key's known values.
    #[error("{key}: unknown {what} {value:?}")]
    UnknownValue {
        /// Path of the key.
        key: String,
        /// What the value selects, such as an effect.
        what: &'static str,
        /// The unknown value.
        value: String,
    },
    /// A list is too long.
    #[error("{key}: {entries} entries; at most {max} are allowed")]
    TooManyEntries {
        /// Key of the list.
        key: &'static str,
        /// Number of entries.
        entries: usize,
        /// Maximum number of entries.
        max: usize,
    },
    /// There are too many pairs of a tenant and a class: a number is stored for each pair.
    #[error(
        "tenants: {tenants} for {classes} classes; tenants times classes must be at most {max}"
    )]
    TooManyPairs {
        /// Number of tenants.
        tenants: usize,
        /// Number of classes.
        classes: usize,
        /// Maximum number of pairs.
        max: usize,
    },
    /// An objective is too short to divide by.
    #[error("classes[{class}].objective: must be at least {min}")]
    ObjectiveTooShort {
        /// Position of the class in `classes`.
        class: usize,
        /// Minimum objective, in milliseconds.
        min: f64,
    },
    /// The balancer refuses a value.
    #[error("{key}: must be {}", source.must)]
    Refused {
        /// Path of the key.
        key: String,
        /// The error from the balancer.
        source: SettingsError,
    },
    /// The dial timeout is out of range.
    #[error("permissions.dial_timeout: must be a time of at least 0")]
    DialTimeout,
}
