//! Reads the state folder on a separate thread, so that a stalled disk does not block the start. Owns no state.
use super::start::Start;
use crate::options::RecoveryOptions;
use balancer_snapshots::store::{Opened, StoreError};
use balancer_snapshots::{unix_ms, FaultFile, Found, Kind, Owner, Store};
use std::io;
use std::path::Path;
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::time::Duration;

/// Why a folder cannot be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum FolderError {
    /// It contains no usable store.
    #[error("{0}")]
    Store(#[source] StoreError),
    /// The disk did not respond in time.
    #[error("no response within {0:?}")]
    Timeout(Duration),
    /// The reader thread panicked.
    #[error("the thread that reads it failed")]
    Failed,
    /// The reader thread could not be started.
    #[error("{0}")]
    Thread(#[source] io::Error),
}

/// The records of a folder, not yet parsed.
pub(super) struct FolderContents {
    /// The store to write to, or why nothing can be written.
    pub store: Result<Opened, StoreError>,
    /// The count and incarnation of this start, or why they could not be written.
    pub start: Result<Start, StoreError>,
    /// The record of the list.
    pub list: Found,
    /// The record of the learned state.
    pub learned: Found,
}

/// Reads the folder that the options name and records this start in it. If the disk responds later than the options
/// allow, the start may still be recorded, but the contents are not used.
pub(super) fn read(options: &RecoveryOptions, owner: Owner) -> Result<FolderContents, FolderError> {
    let (sender, contents) = channel();
    let dir = options.dir.clone();
    let faults =
        (!options.fault_file.as_os_str().is_empty()).then(|| FaultFile::new(&options.fault_file));
    std::thread::Builder::new()
        .name("recovery".into())
        .spawn(move || {
            // Fails if the receiver has timed out.
            let _ = sender.send(read_now(&dir, owner, faults));
        })
        .map_err(FolderError::Thread)?;
    match contents.recv_timeout(options.start_timeout) {
        Ok(contents) => contents.map_err(FolderError::Store),
        Err(RecvTimeoutError::Timeout) => Err(FolderError::Timeout(options.start_timeout)),
        Err(RecvTimeoutError::Disconnected) => Err(FolderError::Failed),
    }
}

fn read_now(
    dir: &Path,
    owner: Owner,
    faults: Option<FaultFile>,
) -> Result<FolderContents, StoreError> {
    let mut opened = match Store::open(dir, owner.clone(), faults) {
        Ok(opened) => opened,
        Err(error @ StoreError::Disk(_)) => return read_copy(dir, owner, error),
        Err(error) => return Err(error),
    };
    let start = match opened.store.get(Kind::Starts)? {
        Found::Record(record) => Start::after(Some(&record.payload)),
        Found::Missing | Found::Invalid(_) => Start::after(None),
    };
    let list = opened.store.get(Kind::Upstreams)?;
    let learned = opened.store.get(Kind::Learned)?;
    // Written to disk before it is used, because an incarnation must never be reused. Serialization cannot fail: the
    // record holds only numbers.
    let text = serde_json::to_string(&start).unwrap_or_default();
    let written = opened.store.put(&[(Kind::Starts, text)], unix_ms());
    Ok(FolderContents {
        store: Ok(opened),
        start: written.map(|()| start),
        list,
        learned,
    })
}

/// Reads a copy of a folder that cannot be written to.
fn read_copy(dir: &Path, owner: Owner, error: StoreError) -> Result<FolderContents, StoreError> {
    let Ok(copy) = Store::copy(dir, owner) else {
        return Err(error);
    };
    Ok(FolderContents {
        list: copy.get(Kind::Upstreams)?,
        learned: copy.get(Kind::Learned)?,
        store: Err(error.clone()),
        start: Err(error),
    })
}
