//! Persistent state of a balancer, for deployments that have a disk.
//!
//! A [`Store`] holds at most one [`record::Record`] of each [`record::Kind`] in a redb database. A record is returned
//! only if it is complete, its checksum matches and it belongs to this owner. A [`writer::SnapshotWriter`] writes on
//! its own thread and queues only the newest payload of each kind, so that a stalled disk delays no caller. Payloads
//! are opaque.
//!
//! redb was chosen over sled (no stable format, unmaintained), fjall and rocksdb (log-structured: many files and
//! background threads for a few records), heed/LMDB (C code, a map that must be sized in advance) and one file per kind
//! replaced by rename (no atomic change of several kinds, which would in the end need a log format of its own). redb is
//! pure Rust, uses a single file with page checksums, locks it against a second process, and has a storage trait behind
//! which faults can be injected.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod fault_injection;
pub mod record;
pub mod store;
pub mod writer;

pub use fault_injection::FaultFile;
pub use record::{Kind, Owner, Record};
pub use store::{Found, Store};
pub use writer::{unix_ms, SnapshotWriter};
