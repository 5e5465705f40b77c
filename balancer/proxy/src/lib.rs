//! balancer-proxy: a load balancer on real sockets, as a library with one entry point, [`main`]. The modules that read input
//! are public, so that tests can read it without a process. See the README.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod check;
mod clients;
mod command_line;
pub mod config;
mod discovery;
mod driver;
mod ending;
mod figures;
mod held;
mod listing;
mod log;
mod message;
pub mod one_line;
pub mod options;
mod peers;
mod program;
mod recovery;
mod reload;
mod serve;
mod signals;
mod snapshots;
mod sockets;
mod upstreams;

pub use listing::{Entry, Listing, Names};
#[doc(hidden)]
pub use peers::word as tier_word;
pub use program::main;
