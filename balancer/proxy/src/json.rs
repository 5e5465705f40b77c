//! JSON documents that name the field at fault. Owns no state.
use serde::de::DeserializeOwned;

/// Why a document is not of the expected form.
#[derive(Debug, thiserror::Error)]
pub(crate) enum JsonError {
    /// A field is not as expected.
    #[error("{path}: {cause}")]
    Field {
        /// Where in the document.
        path: String,
        /// What is wrong.
        #[source]
        cause: serde_json::Error,
    },
    /// The document as such is not as expected.
    #[error("{0}")]
    Document(#[source] serde_json::Error),
}

/// Reads a document of nothing but one value.
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
