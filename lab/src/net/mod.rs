//! The lab's own network on loopback: addresses, links that can be cut, and ports that refuse or stay silent.
//!
//! Every connection of a run has the lab at one end, so a cut is made there: the lab stops reading, writing and
//! accepting. No privilege is needed, and a balancer sees what it would see of a network that drops packets.
mod block;
mod link;
mod lock;
mod port;
mod stream;

pub use block::{Block, BlockError, DISCOVERY, LISTEN, PEERS, UPSTREAM};
pub use link::{Direction, Link};
pub use lock::lock;
pub use port::{listener, Manner, Port};
pub use stream::{connect, LinkedStream};
