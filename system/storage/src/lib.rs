//! Crash-safe state on disk: two slots written in turn, with a short log between.
//!
//! A slot holds a whole snapshot and its generation. Each generation has a log of the records that came after its
//! snapshot. A checkpoint empties the log that the new generation will use, then writes the other slot; until that
//! slot is on disk the old one and its log stay valid. Nothing here knows what snapshots and records mean.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod directory;
mod format;
mod store;

pub use directory::{Directory, FileName, FolderDirectory};
pub use store::{Recovered, Store, StoreError};
