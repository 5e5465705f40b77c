//! A joining replica requests what it is missing from its predecessor, without overloading it with requests.
#[path = "../common/mod.rs"]
mod common;
mod entries;
mod middle_replica;
mod snapshots;
