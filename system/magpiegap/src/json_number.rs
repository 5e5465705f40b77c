//! Conversion of JSON numbers to integers. Results are limited to the range in which a double represents every integer
//! exactly, so that arithmetic on them is exact and can't overflow.

/// 2^53, the limit up to which a double represents every integer exactly.
pub const MAX_EXACT_INTEGER: u64 = 1 << 53;

/// Truncates a number to an integer; `None` if it is negative, not a number or above [`MAX_EXACT_INTEGER`].
pub fn exact_integer(number: f64) -> Option<u64> {
    (0.0..=MAX_EXACT_INTEGER as f64)
        .contains(&number)
        .then_some(number as u64)
}

/// Truncates a number to an integer, clamped to the range from 0 to [`MAX_EXACT_INTEGER`].
pub fn clamped_integer(number: f64) -> u64 {
    (number.max(0.0) as u64).min(MAX_EXACT_INTEGER)
}
