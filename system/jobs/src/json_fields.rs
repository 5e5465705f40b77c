//! Typed access to the fields of a JSON object, with errors that name the field.
//!
//! It knows nothing of configurations. A field that is `null` counts as missing.
use crate::configuration_error::ConfigurationError;
use std::collections::HashMap;
use tinyjson::JsonValue;

type Object = HashMap<String, JsonValue>;

/// Largest number up to which a double holds every integer: 2 to the power of 53.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

/// Builds the error of a field that is missing or of the wrong type.
pub(crate) fn field_error(field: impl Into<String>, must: &'static str) -> ConfigurationError {
    ConfigurationError::Field {
        field: field.into(),
        must,
    }
}

/// The fields of one JSON object.
pub(crate) struct JsonFields<'a> {
    /// Path of the object from the top of the body; empty for the top itself.
    path: String,
    object: &'a Object,
}

impl<'a> JsonFields<'a> {
    /// The fields of the object at a path.
    ///
    /// # Errors
    /// When the value is not an object.
    pub(crate) fn new(
        path: String,
        value: &'a JsonValue,
    ) -> Result<JsonFields<'a>, ConfigurationError> {
        match value.get::<Object>() {
            Some(object) => Ok(JsonFields { path, object }),
            None => Err(field_error(path, "an object")),
        }
    }

    /// Path of a field from the top of the body.
    pub(crate) fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    /// The value of a field, also when it is `null`.
    pub(crate) fn value(&self, field: &str) -> Option<&'a JsonValue> {
        self.object.get(field)
    }

    /// A string that must be present.
    pub(crate) fn string(&self, field: &str) -> Result<String, ConfigurationError> {
        self.value(field)
            .and_then(|value| value.get::<String>())
            .cloned()
            .ok_or_else(|| field_error(self.path_of(field), "a text"))
    }

    /// An integer of at least zero that JSON numbers hold exactly.
    pub(crate) fn integer(&self, field: &str, default: u64) -> Result<u64, ConfigurationError> {
        match self.value(field) {
            None | Some(JsonValue::Null) => Ok(default),
            Some(JsonValue::Number(number))
                if (0.0..=MAX_EXACT_INTEGER).contains(number) && number.fract() == 0.0 =>
            {
                Ok(*number as u64)
            }
            Some(_) => Err(field_error(
                self.path_of(field),
                "a whole number of at least 0",
            )),
        }
    }

    /// An integer that fits into 32 bits.
    pub(crate) fn small_integer(
        &self,
        field: &str,
        default: u32,
    ) -> Result<u32, ConfigurationError> {
        let integer = self.integer(field, u64::from(default))?;
        u32::try_from(integer).map_err(|_| field_error(self.path_of(field), "a smaller number"))
    }

    /// A finite number of at least zero.
    pub(crate) fn number(&self, field: &str, default: f64) -> Result<f64, ConfigurationError> {
        match self.value(field) {
            None | Some(JsonValue::Null) => Ok(default),
            Some(JsonValue::Number(number)) if number.is_finite() && *number >= 0.0 => Ok(*number),
            Some(_) => Err(field_error(self.path_of(field), "a number of at least 0")),
        }
    }

    /// A boolean; `false` when it is missing.
    pub(crate) fn boolean(&self, field: &str) -> Result<bool, ConfigurationError> {
        match self.value(field) {
            None | Some(JsonValue::Null) => Ok(false),
            Some(JsonValue::Boolean(boolean)) => Ok(*boolean),
            Some(_) => Err(field_error(self.path_of(field), "true or false")),
        }
    }

    /// The objects of an array that must be present.
    pub(crate) fn objects(&self, field: &str) -> Result<Vec<JsonFields<'a>>, ConfigurationError> {
        let path = self.path_of(field);
        let Some(values) = self
            .value(field)
            .and_then(|value| value.get::<Vec<JsonValue>>())
        else {
            return Err(field_error(path, "a list"));
        };
        values
            .iter()
            .enumerate()
            .map(|(index, value)| JsonFields::new(format!("{path}[{index}]"), value))
            .collect()
    }
}
