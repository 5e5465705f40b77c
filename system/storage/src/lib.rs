//! Crash-safe state on disk: two slots written in turn, with a short log between.
//!
//! A slot holds a complete snapshot and its generation. Each generation has a log of the records that came after its
//! snapshot. A checkpoint empties the log that the new generation will use, then writes the other slot; until that
//! slot is durable the old one and its log stay valid. What snapshots and records mean is not known here.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod directory;
mod error;
mod format;
mod generation;
mod store;

pub use directory::{Directory, FileName, FolderDirectory};
pub use error::StoreError;
pub use generation::Parity;
pub use store::{Recovered, Store};
