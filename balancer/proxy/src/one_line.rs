//! Limits error messages, which may quote invalid input, to one line of bounded length. Owns no state.

/// Number of characters kept from the start of a long message, which names the field.
const MAX_START_CHARS: usize = 300;
/// Number of characters kept from the end of a long message, which states the position.
const MAX_END_CHARS: usize = 80;
/// Replaces the omitted middle of a long message.
const ELLIPSIS: &str = " [...] ";

/// Replaces control characters, including line breaks, with spaces, and shortens a long message in the middle.
pub fn one_line(message: &str) -> String {
    let plain = |c: char| if c.is_control() { ' ' } else { c };
    let length = message.chars().count();
    if length <= MAX_START_CHARS + MAX_END_CHARS {
        return message.chars().map(plain).collect();
    }
    let start = message.chars().take(MAX_START_CHARS);
    let end = message.chars().skip(length - MAX_END_CHARS);
    start
        .chain(ELLIPSIS.chars())
        .chain(end)
        .map(plain)
        .collect()
}
