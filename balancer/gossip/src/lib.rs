//! What the replicas of a tier know together: membership by gossip, the version of the protocol that all of them speak,
//! sums of their loads, and evidence on upstreams and zones. A sans-I/O state machine over datagrams that are late,
//! lost, repeated and reordered.
//!
//! [`Peers`] takes datagrams, time and what this replica observes itself, and returns datagrams to send
//! and a [`TierState`] of what the tier knows, each thing with its age. What is older than its bound is left out:
//! the caller does then what it would do alone. Sockets, addresses and
//! settings are the caller's.
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
