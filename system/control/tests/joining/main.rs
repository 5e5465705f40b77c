//! A replica that joins requests what is missing from its predecessor, and does not keep it from its work.
#[path = "../common/mod.rs"]
mod common;
mod entries;
mod middle_replica;
mod snapshots;
