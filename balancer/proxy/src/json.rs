//! JSON parsing with errors that name the invalid field. Owns no state.
use serde::de::DeserializeOwned;

/// Why a document cannot be parsed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum JsonError {
    /// A field is invalid.
    #[error("{path}: {cause}")]
    Field {
        /// The path of the field.
        path: String,
        /// The cause.
        #[source]
        cause: serde_json::Error,
    },
    /// The document as a whole is invalid.
    #[error("{0}")]
    Document(#[source] serde_json::Error),
}

/// Parses a document that consists of exactly one value.
pub(crate) fn parse<T: DeserializeOwned>(json: &[u8]) -> Result<T, JsonError> {
    let mut json = serde_json::Deserializer::from_slice(json);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let cause = error.into_inner();
        if path == "." || path == "?" {
            JsonError::Document(cause)
        } else {
            JsonError::Field { path, cause }
        }
    })?;
    json.end().map_err(JsonError::Document)?;
    Ok(value)
}
