//! Messages about bad input, which may quote it: held to one line of bounded length. Owns no state.

/// Characters kept of the start of a long message, where the field is named.
const START_MOST: usize = 300;
/// Characters kept of its end, where the place is.
const END_MOST: usize = 80;
/// Stands for what is left out.
const LEFT_OUT: &str = " [...] ";

/// The message without line ends and other control characters, and without the middle of a long one.
pub fn one_line(message: &str) -> String {
    let plain = |c: char| if c.is_control() { ' ' } else { c };
    let length = message.chars().count();
    if length <= START_MOST + END_MOST {
        return message.chars().map(plain).collect();
    }
    let start = message.chars().take(START_MOST);
    let end = message.chars().skip(length - END_MOST);
    start
        .chain(LEFT_OUT.chars())
        .chain(end)
        .map(plain)
        .collect()
}
