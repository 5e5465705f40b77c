//! Numbers of JSON bodies as integers: only as large as a double holds every one of them, so that arithmetic with them
//! is exact and far from overflow.

/// The largest integer up to which a double holds all of them: 2 to the power of 53.
pub const MAX_EXACT_INTEGER: u64 = 1 << 53;

/// A number without its fraction; `None` for one that is negative or too large.
pub fn exact_integer(number: f64) -> Option<u64> {
    (0.0..=MAX_EXACT_INTEGER as f64)
        .contains(&number)
        .then_some(number as u64)
}

/// A number without its fraction, or the nearest one in range.
pub fn clamped_integer(number: f64) -> u64 {
    (number.max(0.0) as u64).min(MAX_EXACT_INTEGER)
}
