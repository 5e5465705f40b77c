//! Errors of a store.
use std::io;

/// Why an operation failed, and what that means for the stored state.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file can't be read when the store is opened.
    #[error("can't read {file}: {source}")]
    Read {
        /// Name of the file.
        file: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Content that was confirmed as durable is missing. The disk must neither be used nor treated as empty.
    #[error(
        "{file} is damaged: its confirmed content can no longer be read; the machine needs an empty data folder"
    )]
    Damaged {
        /// Name of the file.
        file: &'static str,
    },
    /// A file can't be written. No new data was stored, and the call may be retried.
    #[error("can't write {file}: {source}")]
    Write {
        /// Name of the file.
        file: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
}
