//! Replaces files that others may read at any moment: a reader finds the old text or the new one, never a mix. It does
//! not sync to disk.
use crate::error::FileError;
use std::ffi::OsString;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};

/// Numbers the temporary files, so that no two writers share one.
static NEXT_TEMPORARY: AtomicU64 = AtomicU64::new(0);

/// Replaces a file by one that holds `text`.
///
/// Several threads may do so at once, for the same file or for files whose names differ by their extension only; each
/// reader finds one of the texts, complete.
///
/// # Errors
/// Fails when the folder can't be written to.
pub fn replace(path: &Path, text: &str) -> Result<(), FileError> {
    let number = NEXT_TEMPORARY.fetch_add(1, Ordering::Relaxed);
    let mut name = path.file_name().map_or_else(OsString::new, OsString::from);
    name.push(format!(".new-{number}"));
    let temporary = path.with_file_name(name);
    std::fs::write(&temporary, text)
        .and_then(|()| std::fs::rename(&temporary, path))
        .map_err(FileError::at(path))
}
