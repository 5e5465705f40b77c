//! Messages about bad input, which may quote it: limited to one line of bounded length. Owns no state.

/// Characters shown of the start of a long message, where the field is named.
const MAX_START_CHARS: usize = 300;
/// Characters shown of its end, where the position is.
const MAX_END_CHARS: usize = 80;
/// Stands for what is left out.
const ELLIPSIS: &str = " [...] ";

/// The message without line ends and other control characters, and without the middle of a long one.
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
