//! Randomly mutated inputs, reproducible from the seed, and a check of the messages that reject them.
#[path = "../../../core/tests/common/mutations.rs"]
mod shared;
use shared::{Mutations, SplitMix64};

/// Longest error message, in characters, even where it quotes the input.
const MAX_MESSAGE_CHARS: usize = 400;

/// Replacement values. `too_long` is a duration longer than the parser under test accepts.
fn replacement_values(too_long: &str) -> Vec<&str> {
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

/// Mutations of a text in which values follow `separator`.
pub(crate) fn mutations(separator: u8, too_long: &str, seed: u64) -> Mutations<'_> {
    Mutations {
        separator,
        value_ends: b",}]\n",
        values: replacement_values(too_long),
        generator: SplitMix64(seed),
    }
}

pub(crate) fn assert_one_line(error: &str) {
    let is_printable = !error.is_empty() && !error.contains(char::is_control);
    assert!(
        is_printable && error.chars().count() <= MAX_MESSAGE_CHARS,
        "{error:?}"
    );
}
