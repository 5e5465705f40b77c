//! The emulated network for datagrams between balancers: it delays, loses, repeats, reorders and cuts them.
//!
//! The lab has one socket for each balancer. A balancer addresses a peer by an address of the lab, and receives the
//! peer's datagrams from the same address.
mod garbage;
mod network;

pub use network::{Conditions, Datagrams, MAX_DATAGRAM_BYTES};
