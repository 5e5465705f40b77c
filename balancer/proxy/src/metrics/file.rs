//! The file that metrics are exported to. Owns the thread that writes it.
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, sync_channel, Receiver, SyncSender, TrySendError};
use std::time::Duration;

/// Maximum time that the shutdown waits for the last snapshot to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
const FILE_NAME: &str = "figures.json";

/// The writer thread could not be started.
#[derive(Debug, thiserror::Error)]
#[error("cannot start the metrics thread: {0}")]
pub(crate) struct MetricsFileError(#[source] io::Error);

/// Writes snapshots to the file on a separate thread, so that a stalled disk blocks nothing else.
pub(crate) struct MetricsFile {
    snapshots: Option<SyncSender<String>>,
    writer_ended: Receiver<()>,
    skipped: u64,
}

impl MetricsFile {
    /// Starts the writer thread for the file in `dir`.
    pub(crate) fn start(dir: &Path) -> Result<MetricsFile, MetricsFileError> {
        let (snapshots, queue) = sync_channel::<String>(1);
        let (ended, writer_ended) = channel::<()>();
        let paths = Paths {
            current: dir.join(FILE_NAME),
            temporary: dir.join(format!(".{FILE_NAME}.new")),
        };
        let write_all = move || {
            // Dropped with the thread, which signals its end.
            let _ended = ended;
            write_snapshots(&paths, queue);
        };
        std::thread::Builder::new()
            .name("figures".into())
            .spawn(write_all)
            .map_err(MetricsFileError)?;
        Ok(MetricsFile {
            snapshots: Some(snapshots),
            writer_ended,
            skipped: 0,
        })
    }

    /// Queues a snapshot, or skips it if an earlier one is still queued.
    pub(crate) fn write(&mut self, text: String) {
        let queued = self.snapshots.as_ref().map(|queue| queue.try_send(text));
        if let Some(Err(TrySendError::Full(_))) = queued {
            self.skipped += 1;
        }
    }

    /// Returns the number of skipped snapshots.
    pub(crate) fn skipped(&self) -> u64 {
        self.skipped
    }
}

impl Drop for MetricsFile {
    fn drop(&mut self) {
        self.snapshots = None;
        // Waits for the thread to write the last snapshot, but not for a stalled disk.
        let _ = self.writer_ended.recv_timeout(FLUSH_TIMEOUT);
    }
}

struct Paths {
    current: PathBuf,
    temporary: PathBuf,
}

/// Writes snapshots until the queue is closed. Logs only the first of consecutive failures.
fn write_snapshots(paths: &Paths, queue: Receiver<String>) {
    let mut is_failing = false;
    for text in queue {
        let Err(error) = replace(paths, &text) else {
            is_failing = false;
            continue;
        };
        if !std::mem::replace(&mut is_failing, true) {
            let path = paths.current.display();
            tracing::warn!(target: "figures", event = "figures_not_written", error = %error, "{path}: {error}");
        }
    }
}

/// Replaces the file atomically: readers never see a partial file.
fn replace(paths: &Paths, text: &str) -> io::Result<()> {
    let mut file = std::fs::File::create(&paths.temporary)?;
    file.write_all(text.as_bytes())?;
    drop(file);
    std::fs::rename(&paths.temporary, &paths.current)
}
