//! Validation errors of settings and saved state.

/// An invalid field in [`Settings`](crate::Settings) or in saved state.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("setting {field} must be {must}")]
pub struct SettingsError {
    /// Name of the invalid field.
    pub field: &'static str,
    /// Requirement that the field does not meet.
    pub must: &'static str,
}
