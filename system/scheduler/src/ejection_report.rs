//! Batches ejected workers into periodic log lines.
use magpiegap_protocol::Millis;
use std::collections::BTreeSet;

/// Minimum time between two log lines.
const REPORT_INTERVAL_MS: Millis = 1000;
/// Maximum number of workers named in a log line; the rest are counted.
const MAX_NAMED_WORKERS: usize = 5;

/// Ejected workers that have not been logged yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct EjectionReport {
    unreported: BTreeSet<String>,
    reported_at: Millis,
}

impl EjectionReport {
    pub(crate) fn add(&mut self, incarnation: &str) {
        self.unreported.insert(incarnation.to_owned());
    }

    /// Returns a log line if one is due.
    pub(crate) fn poll_line(&mut self, now: Millis) -> Option<String> {
        if self.unreported.is_empty() || now < self.reported_at + REPORT_INTERVAL_MS {
            return None;
        }
        self.reported_at = now;
        let ejected = std::mem::take(&mut self.unreported);
        let named: Vec<&str> = ejected
            .iter()
            .take(MAX_NAMED_WORKERS)
            .map(String::as_str)
            .collect();
        let unnamed = ejected.len() - named.len();
        let suffix = if unnamed > 0 {
            format!(" and {unnamed} more")
        } else {
            String::new()
        };
        Some(format!(
            "ejected workers whose runs fail workers={}{suffix}",
            named.join(", ")
        ))
    }
}
