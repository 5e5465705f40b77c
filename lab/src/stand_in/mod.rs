//! The lab's own balancers: simple proxies as baselines for the real one, and proxies that misbehave on purpose, to
//! test that the oracle detects violations of each rule.
//!
//! `run` composes them: `proxy` accepts and forwards requests, `upstreams` follows discovery and chooses an upstream,
//! `peers` and `metrics` send false datagrams and write false metrics. Stand-ins have no retries, no health checks and
//! no slow start.
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
