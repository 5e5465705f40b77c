//! Errors in configurations submitted by operators.
use crate::json_depth::MAX_JSON_DEPTH;
use std::str::Utf8Error;
use tinyjson::JsonParseError;

/// The first error found in a rejected configuration.
///
/// The message is returned to the operator and identifies the field, route or service by its name in the submitted
/// JSON.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// The body is not UTF-8.
    #[error("not readable as JSON: {0}")]
    NotUtf8(#[source] Utf8Error),
    /// The body is not JSON.
    #[error("not readable as JSON: {0}")]
    NotJson(#[source] JsonParseError),
    /// Objects and arrays are nested too deeply.
    #[error("nested more than {MAX_JSON_DEPTH} levels deep")]
    TooDeep,
    /// A field is missing, has the wrong type or is out of range.
    #[error("{field}: must be {expected}")]
    Field {
        /// Path of the field from the root of the JSON body.
        field: String,
        /// The expected type or range.
        expected: &'static str,
    },
    /// A route refers to a service that is not defined.
    #[error("route {route}: unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes match the same requests.
    #[error("routes {first} and {second} have the same host and prefix")]
    DuplicateMatch {
        /// The route that is listed first.
        first: String,
        /// The route that is listed later.
        second: String,
    },
    /// Two routes or two services have the same name.
    #[error("{0}: the name comes twice")]
    DuplicateName(String),
}
