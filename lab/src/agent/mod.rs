//! Discovery as one balancer sees it: an agent on the balancer's machine that lists upstreams, with delays and faults.
//!
//! `listing` owns the list and its wire format; `serve` serves it on sockets. The module `faults` decides when changes
//! reach an agent.
mod entry;
mod listing;
mod serve;

pub use entry::{DiscoveryMode, Entry, Start, State};
pub use serve::Agent;
