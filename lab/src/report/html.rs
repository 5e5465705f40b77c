//! Formatting of text and numbers for HTML.

/// Escapes text for use in HTML content.
pub(super) fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// Formats a fraction as a percentage.
pub(super) fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}
