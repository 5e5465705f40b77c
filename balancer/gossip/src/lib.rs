//! What the replicas of a tier know together: who is there, which version of the protocol all of them speak, sums of
//! what each observes, and evidence on upstreams and zones. A sans-I/O state machine over datagrams that are late,
//! lost, repeated and reordered.
//!
//! [`Peers`] takes datagrams, time and what this replica observes itself, and answers with datagrams to send
//! and with a [`Word`] of what the tier knows, each thing with its age. What is older than its bound is left out:
//! whoever asks does then what it would do alone.
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
