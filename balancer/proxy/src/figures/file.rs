//! The file in which others read the figures. Owns the thread that writes it.
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, sync_channel, Receiver, SyncSender, TrySendError};
use std::time::Duration;

/// The program's end waits this long for the last snapshot to be written.
const LAST_WRITE: Duration = Duration::from_millis(200);
/// The file's name.
const FILE: &str = "figures.json";

/// Writes snapshots to the file, on a thread of its own: a disk that stalls costs nobody else anything.
pub(crate) struct File {
    to: Option<SyncSender<String>>,
    done: Receiver<()>,
    skipped: u64,
}

impl File {
    /// The file in this folder.
    pub(crate) fn start(dir: &Path) -> Result<File, String> {
        let (to, snapshots) = sync_channel::<String>(1);
        let (path, fresh) = (dir.join(FILE), dir.join(format!(".{FILE}.new")));
        let (tell, done) = channel::<()>();
        let work = move || {
            // Dropped with the thread: that tells that it has ended.
            let _ended = tell;
            let mut failing = false;
            for text in snapshots {
                match replace(&path, &fresh, &text) {
                    Ok(()) => failing = false,
                    Err(e) => {
                        // Once for each time that it begins to fail.
                        if !std::mem::replace(&mut failing, true) {
                            let path = path.display();
                            tracing::warn!(target: "figures", event = "figures_not_written", error = %e, "{path}: {e}");
                        }
                    }
                }
            }
        };
        let thread = std::thread::Builder::new()
            .name("figures".into())
            .spawn(work);
        thread.map_err(|e| format!("a thread for the figures: {e}"))?;
        Ok(File {
            to: Some(to),
            done,
            skipped: 0,
        })
    }

    /// Hands a snapshot over; it is left out if the one before is still under way.
    pub(crate) fn write(&mut self, text: String) {
        if let Some(Err(TrySendError::Full(_))) = self.to.as_ref().map(|to| to.try_send(text)) {
            self.skipped += 1;
        }
    }

    /// Snapshots left out so far.
    pub(crate) fn skipped(&self) -> u64 {
        self.skipped
    }
}

impl Drop for File {
    fn drop(&mut self) {
        self.to = None;
        // It writes the last one; a disk that stalls is not waited for.
        let _ = self.done.recv_timeout(LAST_WRITE);
    }
}

/// Whole or not at all: readers never see half a file.
fn replace(path: &PathBuf, fresh: &PathBuf, text: &str) -> std::io::Result<()> {
    let mut file = std::fs::File::create(fresh)?;
    file.write_all(text.as_bytes())?;
    drop(file);
    std::fs::rename(fresh, path)
}
