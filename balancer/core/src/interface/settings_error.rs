//! What is wrong with settings or saved state.

/// Why [`Settings`](crate::Settings) were refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("setting {field} must be {must}")]
pub struct SettingsError {
    /// The field at fault.
    pub field: &'static str,
    /// What it must be.
    pub must: &'static str,
}
