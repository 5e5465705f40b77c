//! Why a store can't read or write.
use std::io;

/// What the disk refused, and what that means for the state on it.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file can't be read at the start.
    #[error("can't read {file}: {source}")]
    Read {
        /// Name of the file.
        file: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Something that was confirmed is not there any more: the disk must not be used, nor taken for an empty one.
    #[error(
        "{file} is damaged: it was kept once and can't be read now; the machine needs an empty data folder"
    )]
    Damaged {
        /// Name of the file.
        file: &'static str,
    },
    /// A file can't be written. Nothing new was stored; the call may be retried.
    #[error("can't write {file}: {source}")]
    Write {
        /// Name of the file.
        file: &'static str,
        /// The error of the operating system.
        source: io::Error,
    },
}
