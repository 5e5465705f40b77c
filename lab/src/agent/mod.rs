//! Discovery as one balancer sees it: an agent on its own machine that lists upstreams for it, late or badly.
//!
//! `listing` owns the list and its form on the wire; `serve` puts it on sockets. When changes reach an agent is the
//! faults' to say.
mod entry;
mod listing;
mod serve;

pub use entry::{DiscoveryMode, Entry, Start, State};
pub use serve::Agent;
