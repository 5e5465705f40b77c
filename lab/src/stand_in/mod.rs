//! The lab's own balancers: pass-throughs to set beside the real one, and ones that misbehave on purpose, so that each
//! rule of the oracle is seen to be broken by somebody.
//!
//! `run` composes them: `proxy` takes and forwards requests, `upstreams` follows discovery and chooses, `peers`
//! and `metrics` send and write what is wrong. No retries, no health, no slow start: that is the real balancer's.
mod config;
mod connect;
mod error;
mod metrics;
mod misbehavior;
mod peers;
mod proxy;
mod run;
mod upstreams;

pub use error::StandInError;
pub use misbehavior::{Misbehavior, Policy};
pub use run::run;
