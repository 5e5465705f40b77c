//! Snapshots of the figures, for the file and the log. Owns no state.
use crate::driver::Handle;
use crate::figures::File;
use crate::log::Logging;
use crate::options::Options;
use crate::peers::Tier;
use tokio::sync::watch;

/// Makes a snapshot of the figures now and then, and one when it is told to end.
pub(crate) async fn tell(
    handle: Handle,
    tier: Option<Tier>,
    mut options: watch::Receiver<Options>,
    logging: &Logging,
    mut file: Option<File>,
    mut end: watch::Receiver<bool>,
) {
    loop {
        let now = options.borrow_and_update().figures.clone();
        let last = tokio::select! {
            () = tokio::time::sleep(now.every) => false,
            changed = options.changed() => {
                if changed.is_err() {
                    return;
                }
                continue;
            }
            _ = end.wait_for(|end| *end) => true,
        };
        let skipped = file.as_ref().map_or(0, File::skipped);
        let (kept, peers) = (handle.kept(), tier.as_ref().map(Tier::figures));
        let snapshot =
            handle.figures(|f, now| f.snapshot(now, logging.lines(), kept, peers, skipped));
        // Names and numbers only: there is nothing in it that JSON can't hold.
        let text = snapshot
            .and_then(|s| serde_json::to_string(&s).ok())
            .unwrap_or_default();
        if now.log {
            tracing::info!(target: "figures", event = "figures", figures = text.as_str());
        }
        if let Some(file) = &mut file {
            file.write(text);
        }
        if last {
            return;
        }
    }
}
