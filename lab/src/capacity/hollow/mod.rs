//! Hollow balancers: the peers' protocol of the real program on real datagrams over loopback, many members in one
//! thread, with nothing else of a balancer around it.
//!
//! `member` runs one member as the node does; `tier` owns the thread that holds all of them.
mod member;
mod tier;

pub use tier::{learn_deployment, Running, Snapshot, Tier};
