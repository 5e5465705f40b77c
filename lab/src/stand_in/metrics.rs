//! Writes false metrics.
use super::misbehavior::Misbehavior;
use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// The reported age of the peer sums, in milliseconds.
const STALE_AGE_MS: u64 = 60_000;

/// Writes metrics periodically until dropped; `requests` returns how many requests there were. Does nothing if the
/// environment variable `LAB_STATE` is not set.
pub(super) async fn write_metrics(misbehavior: Misbehavior, requests: impl Fn() -> usize) {
    let Some(folder) = std::env::var_os("LAB_STATE").map(PathBuf::from) else {
        return;
    };
    loop {
        tokio::time::sleep(WRITE_INTERVAL).await;
        let text = metrics(misbehavior, requests());
        let (temporary, path) = (folder.join("figures.new"), folder.join("figures.json"));
        // The lab detects missing metrics.
        let _ = std::fs::write(&temporary, text).and_then(|()| std::fs::rename(&temporary, &path));
    }
}

fn metrics(misbehavior: Misbehavior, requests: usize) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_ms = now.map_or(0, |now| now.as_millis());
    let counted = match misbehavior {
        Misbehavior::OverstateMetrics => requests * 2,
        _ => requests,
    };
    let age_ms = match misbehavior {
        Misbehavior::StaleSums => STALE_AGE_MS,
        _ => 0,
    };
    format!(
        r#"{{"at_ms":{at_ms},"incarnation":7,"requests":{counted},"attempts":{counted},"peers":{{"sums":{{"age_ms":{age_ms}}}}}}}"#
    )
}
