//! Persistent state of a balancer, for deployments that have a disk.
//!
//! A [`Store`] has one [`record::Record`] of each [`record::Kind`] in a redb database: complete, checked, of this owner
//! and this deployment, or not at all. A [`writer::SnapshotWriter`] writes on a thread of its own and queues only the newest of
//! each kind, so that a disk that stalls delays nobody else. What the records mean is not known here.
//!
//! redb was weighed against sled (no stable format, unmaintained), fjall and rocksdb (log-structured: many files and
//! background threads for a few records), heed/LMDB (C code, a map that must be sized ahead) and a file replaced by
//! rename for each kind (no atomic change of several, and a log format of our own in the end). redb is one file of pure
//! Rust with checksums on its pages, a lock against a second process, and its storage behind a trait: the seam at which
//! faults are injected.
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
