//! Hollow balancers: the real peer protocol over real loopback datagrams, without the rest of a balancer, so that many
//! members run in one thread.
//!
//! `member` runs one member in the same way as the node; `tier` owns the thread that runs all members.
mod member;
mod tier;

pub use tier::{learn_deployment, Running, Snapshot, Tier};
