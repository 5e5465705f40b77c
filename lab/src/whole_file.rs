//! Files that others read at any moment: replaced whole or not at all.
use std::ffi::OsString;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};

/// Numbers the files under way, so that no two writers share one.
static WRITES: AtomicU64 = AtomicU64::new(0);

/// Puts a text in the place of a file. Several may do so at once, for the same file or for files whose names differ by
/// their ending only; each reader finds one of the texts, whole.
///
/// # Errors
/// When the folder can't be written to; the line names the file.
pub fn replace(path: &Path, text: &str) -> Result<(), String> {
    let number = WRITES.fetch_add(1, Ordering::Relaxed);
    let mut name = path.file_name().map_or_else(OsString::new, OsString::from);
    name.push(format!(".new-{number}"));
    let fresh = path.with_file_name(name);
    std::fs::write(&fresh, text)
        .and_then(|()| std::fs::rename(&fresh, path))
        .map_err(|e| format!("{}: {e}", path.display()))
}
