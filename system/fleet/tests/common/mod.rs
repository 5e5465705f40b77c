//! What the tests of the fleet share.
use std::ops::Range;

/// The seeds to run; the environment variables `FLEET_FIRST` and `FLEET_SEEDS` override the start and the count.
pub(crate) fn seeds(first: u64, count: u64) -> Range<u64> {
    let number = |name| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = number("FLEET_FIRST").unwrap_or(first);
    first..first + number("FLEET_SEEDS").unwrap_or(count)
}
