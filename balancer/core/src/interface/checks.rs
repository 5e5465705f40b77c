//! Validation of externally supplied numbers. Stateless.
use super::SettingsError;

/// Largest accepted number: beyond any practical value, yet the product of two stays finite.
const MAX_NUMBER: f64 = 1e15;

/// Whether a time, rate or count is non-negative and not too large.
pub(super) fn is_amount(value: f64) -> bool {
    (0.0..=MAX_NUMBER).contains(&value)
}

/// Whether a number is a valid amount above zero.
pub(super) fn is_positive(value: f64) -> bool {
    is_amount(value) && value > 0.0
}

/// Whether a number is between 0 and 1.
pub(super) fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

/// Returns an error that names the field unless it is valid.
pub(super) fn check(
    valid: bool,
    field: &'static str,
    must: &'static str,
) -> Result<(), SettingsError> {
    if valid {
        Ok(())
    } else {
        Err(SettingsError { field, must })
    }
}
