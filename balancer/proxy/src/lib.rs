//! balancer-proxy: a load balancer on real sockets, as a library with one entry point, [`main`]. The modules that parse
//! input are public, so that tests can use them without starting a process. See the README.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod check;
mod clients;
mod command_line;
pub mod config;
mod connection_counts;
mod discovery;
mod driver;

mod json;
mod listing;
mod log;
mod message;
mod metrics;
mod metrics_reporter;
pub mod one_line;
pub mod options;
mod peers;
mod program;
mod recovery;
mod reload;
mod serve;
mod shutdown;
mod signals;
mod sockets;
mod upstreams;

pub use listing::{Entry, Listing, ListingError, Names};
#[doc(hidden)]
pub use peers::tier_update;
pub use program::main;
