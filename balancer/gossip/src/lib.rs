//! The gossip protocol between the replicas of a tier: membership, negotiation of the protocol version, sums of the
//! replicas' loads, and evidence against upstreams and zones. A sans-I/O state machine that tolerates datagrams which
//! are delayed, lost, duplicated or reordered.
//!
//! The inputs of [`Peers`] are received datagrams, the time and this replica's own observations. Its outputs are
//! datagrams to send and a [`TierState`], whose entries carry their ages. Entries older than their bound are left out,
//! and the caller then falls back to local information. Sockets, addresses and settings are the caller's
//! responsibility.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
#[doc(hidden)]
pub mod knowledge;
mod membership;
mod peers;
mod types;
pub mod versions;
#[doc(hidden)]
pub mod wire;

pub use peers::Peers;
pub use types::*;
