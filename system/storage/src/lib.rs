//! Crash-safe storage: two alternating snapshot slots, each followed by a log of records.
//!
//! A slot holds a complete snapshot and its generation. Each generation has a log of the records appended after its
//! snapshot. A checkpoint first empties the log of the new generation, then writes the other slot. The old slot and its
//! log stay valid until the new slot is durable. Snapshots and records are opaque to this crate.
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
