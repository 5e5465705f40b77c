//! Figures that are not so.
use super::wrong::Wrong;
use std::time::Duration;

/// Writes them again and again; `taken` says how many requests there were.
pub(super) async fn write_figures(wrong: Wrong, taken: impl Fn() -> usize) {
    let Some(folder) = std::env::var_os("LAB_STATE").map(std::path::PathBuf::from) else {
        return;
    };
    loop {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let times = if wrong == Wrong::Boasts { 2 } else { 1 };
        let age = if wrong == Wrong::Remembers { 60_000 } else { 0 };
        let (at, taken) = (now.map_or(0, |n| n.as_millis()), taken() * times);
        let text = format!(
            r#"{{"at_ms":{at},"incarnation":7,"requests":{taken},"attempts":{taken},"peers":{{"sums":{{"age_ms":{age}}}}}}}"#
        );
        let (fresh, path) = (folder.join("figures.new"), folder.join("figures.json"));
        // The lab sees whether it is there.
        let _ = std::fs::write(&fresh, text).and_then(|()| std::fs::rename(&fresh, &path));
    }
}
