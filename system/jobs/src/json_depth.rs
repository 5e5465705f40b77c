//! Bounds the nesting of JSON before it is parsed: the parser is recursive, and deep nesting would overflow the stack of
//! the process.

/// Maximum depth of objects and arrays within one another.
pub(crate) const MAX_JSON_DEPTH: usize = 64;

/// Returns whether objects and arrays are nested more deeply than [`MAX_JSON_DEPTH`]. The text need not be valid JSON.
pub(crate) fn is_too_deep(text: &str) -> bool {
    let mut depth: usize = 0;
    let mut in_string = false;
    let mut is_escaped = false;
    for byte in text.bytes() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if in_string => is_escaped = true,
            b'"' => in_string = !in_string,
            _ if in_string => {}
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_JSON_DEPTH {
            return true;
        }
    }
    false
}
