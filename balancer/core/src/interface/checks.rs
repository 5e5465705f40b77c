//! Checks of numbers that come from outside. Owns no state.
use super::SettingsError;

/// Far beyond any use, and small enough that products of two stay finite.
const MAX_NUMBER: f64 = 1e15;

/// Whether a time, rate or count can be worked with: at least zero, and not too large.
pub(super) fn is_amount(value: f64) -> bool {
    (0.0..=MAX_NUMBER).contains(&value)
}

/// Whether a number is an amount above zero.
pub(super) fn is_positive(value: f64) -> bool {
    is_amount(value) && value > 0.0
}

/// Whether a number is a part of a total.
pub(super) fn is_part(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

/// Names the field at fault unless it is valid.
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
