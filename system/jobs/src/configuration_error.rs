//! Why a configuration is rejected.
use std::str::Utf8Error;
use tinyjson::JsonParseError;

/// The first fault of a configuration that is rejected.
///
/// Operators read the text: it names the field, route or service as it stands in the body that they sent.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// The body is not UTF-8.
    #[error("not readable as JSON: {0}")]
    NotUtf8(#[source] Utf8Error),
    /// The body is not JSON.
    #[error("not readable as JSON: {0}")]
    NotJson(#[source] JsonParseError),
    /// A field is missing or of the wrong type.
    #[error("{field}: must be {must}")]
    Field {
        /// Path of the field from the top of the body.
        field: String,
        /// What it must be.
        must: &'static str,
    },
    /// A route refers to a service that is not defined.
    #[error("route {route}: unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// Two routes match the same requests.
    #[error("routes {first} and {second} have the same host and prefix")]
    DuplicateMatch {
        /// Name of the route that comes first in the body.
        first: String,
        /// Name of the other one.
        second: String,
    },
    /// Two routes, or two services, have the same name.
    #[error("{0}: the name comes twice")]
    DuplicateName(String),
}
