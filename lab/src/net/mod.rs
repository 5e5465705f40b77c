//! The lab's emulated network on loopback: addresses, links that can be cut, and ports that refuse connections or let
//! them hang.
//!
//! Every connection of a run has the lab at one end, so cuts are made there: the lab stops reading, writing and
//! accepting. This needs no privileges, and to a balancer it looks like a network that drops packets.
mod block;
mod link;
mod lock;
mod port;
mod stream;

pub use block::{Block, BlockError, DISCOVERY, LISTEN, PEERS, UPSTREAM};
pub use link::{Direction, Link};
pub use lock::lock;
pub use port::{listener, Port, PortMode};
pub use stream::{connect, LinkedStream};
