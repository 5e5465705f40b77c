//! The datagrams between balancers: late, lost, repeated, reordered, cut; never any other way.
//!
//! Each balancer has one socket of the lab's for all its peers. It names a peer by the address it sends to, and
//! receives it from that same address, as the platform has it.
mod garbage;
mod network;

pub use network::{Conditions, Datagrams, LONGEST};
