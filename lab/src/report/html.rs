//! Text and numbers as the page has them.

/// Escapes text for HTML.
pub(super) fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// A share as a percentage.
pub(super) fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}
