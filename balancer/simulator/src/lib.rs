//! Runs balancer_core balancers in the operators' simulator. The binary only moves frames between its standard streams
//! and [`Host`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod host;
pub mod wire;

pub use host::{BatchError, Host, RecordError};
