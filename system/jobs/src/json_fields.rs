//! Typed access to the fields of a JSON object, with errors that identify the field.
//!
//! The module is independent of the configuration schema. Accessors of scalars treat `null` as missing.
use crate::configuration_error::ConfigurationError;
use std::collections::HashMap;
use tinyjson::JsonValue;

type Object = HashMap<String, JsonValue>;

/// 2^53: every integer up to this value is exactly representable as an `f64`.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

/// Creates the error for a field that is missing, has the wrong type or is out of range.
pub(crate) fn field_error(field: impl Into<String>, expected: &'static str) -> ConfigurationError {
    ConfigurationError::Field {
        field: field.into(),
        expected,
    }
}

/// The fields of one JSON object.
pub(crate) struct JsonFields<'a> {
    /// Path of the object from the root of the JSON body; empty for the root.
    path: String,
    object: &'a Object,
}

impl<'a> JsonFields<'a> {
    /// Wraps the object at a path.
    ///
    /// # Errors
    /// Returns an error if the value is not an object.
    pub(crate) fn new(
        path: String,
        value: &'a JsonValue,
    ) -> Result<JsonFields<'a>, ConfigurationError> {
        match value.get::<Object>() {
            Some(object) => Ok(JsonFields { path, object }),
            None => Err(field_error(path, "an object")),
        }
    }

    /// Returns the path of a field from the root of the JSON body.
    pub(crate) fn field_path(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    /// Returns the value of a field, including `null`.
    pub(crate) fn value(&self, field: &str) -> Option<&'a JsonValue> {
        self.object.get(field)
    }

    /// Returns a required string.
    pub(crate) fn string(&self, field: &str) -> Result<String, ConfigurationError> {
        self.value(field)
            .and_then(|value| value.get::<String>())
            .cloned()
            .ok_or_else(|| field_error(self.field_path(field), "a text"))
    }

    /// Returns an integer from 0 to [`MAX_EXACT_INTEGER`].
    pub(crate) fn integer(&self, field: &str, default: u64) -> Result<u64, ConfigurationError> {
        match self.value(field) {
            None | Some(JsonValue::Null) => Ok(default),
            Some(JsonValue::Number(number))
                if (0.0..=MAX_EXACT_INTEGER).contains(number) && number.fract() == 0.0 =>
            {
                Ok(*number as u64)
            }
            Some(_) => Err(field_error(
                self.field_path(field),
                "a whole number of at least 0",
            )),
        }
    }

    /// Returns an integer that fits into 32 bits.
    pub(crate) fn integer_u32(&self, field: &str, default: u32) -> Result<u32, ConfigurationError> {
        let integer = self.integer(field, u64::from(default))?;
        u32::try_from(integer).map_err(|_| field_error(self.field_path(field), "a smaller number"))
    }

    /// Returns a finite number of at least zero.
    pub(crate) fn number(&self, field: &str, default: f64) -> Result<f64, ConfigurationError> {
        match self.value(field) {
            None | Some(JsonValue::Null) => Ok(default),
            Some(JsonValue::Number(number)) if number.is_finite() && *number >= 0.0 => Ok(*number),
            Some(_) => Err(field_error(
                self.field_path(field),
                "a number of at least 0",
            )),
        }
    }

    /// Returns a boolean, `false` if missing.
    pub(crate) fn boolean(&self, field: &str) -> Result<bool, ConfigurationError> {
        match self.value(field) {
            None | Some(JsonValue::Null) => Ok(false),
            Some(JsonValue::Boolean(boolean)) => Ok(*boolean),
            Some(_) => Err(field_error(self.field_path(field), "true or false")),
        }
    }

    /// Returns the objects of a required array.
    pub(crate) fn objects(&self, field: &str) -> Result<Vec<JsonFields<'a>>, ConfigurationError> {
        let path = self.field_path(field);
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
