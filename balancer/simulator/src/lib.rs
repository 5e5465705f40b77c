//! Hosts balancer_core balancers on the simulator's wire. The program only carries frames between its pipes and
//! [`Host`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod host;
pub mod wire;

pub use host::{BatchError, Host, RecordError};
