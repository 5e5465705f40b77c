//! Texts changed at random, for tests of bad input: the same ones for the same seed. Messages that refuse one are checked
//! here too.
#[path = "../../../core/tests/common/mutations.rs"]
mod shared;
use shared::{Mutations, SplitMix64};

/// Messages may quote what was read; they stay this short all the same.
const LINE_MOST: usize = 400;

/// What may stand where a value was; the time is longer than the reader under test takes.
fn values(too_long: &str) -> Vec<&str> {
    vec![
        "null",
        "true",
        "-1",
        "0",
        "0.5",
        "7",
        "1e6",
        "1e-320",
        "1e300",
        "1e999",
        "NaN",
        "Infinity",
        "4294967295",
        "18446744073709551615",
        "18446744073709551616",
        "\"\"",
        "\"\\u0000\\n\"",
        "\"127.0.0.1:0\"",
        too_long,
        "[]",
        "{}",
        "[[[[[[[[",
    ]
}

/// Changes of a text whose values begin after the separator.
pub(crate) fn mutations(separator: u8, too_long: &str, seed: u64) -> Mutations<'_> {
    Mutations {
        separator,
        value_ends: b",}]\n",
        values: values(too_long),
        generator: SplitMix64(seed),
    }
}

pub(crate) fn is_one_line(error: &str) {
    let plain = !error.is_empty() && !error.contains(char::is_control);
    assert!(plain && error.chars().count() <= LINE_MOST, "{error:?}");
}
