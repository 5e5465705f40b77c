//! Takes metrics snapshots for the file and the log. Owns the metrics file.
use crate::driver::Handle;
use crate::log::Logging;
use crate::metrics::{ComponentMetrics, MetricsFile};
use crate::options::Options;
use crate::peers::Tier;
use tokio::sync::watch;

/// Reports metrics snapshots periodically.
pub(crate) struct MetricsReporter<'a> {
    /// The driver, which holds the counters.
    pub handle: Handle,
    /// The tier, if this replica communicates with its peers.
    pub tier: Option<Tier>,
    /// The current options.
    pub options: watch::Receiver<Options>,
    /// The log.
    pub logging: &'a Logging,
    /// The file, if one is written.
    pub file: Option<MetricsFile>,
}

impl MetricsReporter<'_> {
    /// Reports snapshots until `end` becomes true, then reports a last one.
    pub(crate) async fn run(mut self, mut end: watch::Receiver<bool>) {
        loop {
            let options = self.options.borrow_and_update().metrics.clone();
            let is_last = tokio::select! {
                () = tokio::time::sleep(options.interval) => false,
                changed = self.options.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    continue;
                }
                _ = end.wait_for(|end| *end) => true,
            };
            let text = self.snapshot();
            if options.log {
                tracing::info!(target: "figures", event = "figures", figures = text.as_str());
            }
            if let Some(file) = &mut self.file {
                file.write(text);
            }
            if is_last {
                return;
            }
        }
    }

    /// Returns a snapshot as JSON.
    fn snapshot(&self) -> String {
        let components = ComponentMetrics {
            log: self.logging.counters(),
            recovery: self.handle.recovery_writes(),
            tier: self.tier.as_ref().map(Tier::metrics),
            skipped: self.file.as_ref().map_or(0, MetricsFile::skipped),
        };
        let snapshot = self
            .handle
            .with_metrics(|metrics, gauges| metrics.snapshot(gauges, components));
        // Cannot fail: the snapshot holds only strings and numbers.
        snapshot
            .and_then(|snapshot| serde_json::to_string(&snapshot).ok())
            .unwrap_or_default()
    }
}
