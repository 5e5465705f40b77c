//! Blocks of loopback addresses; each lab process on a machine claims one.
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use thiserror::Error;

/// The port that a lab binds on its block to claim it.
const CLAIM_PORT: u16 = 9999;
/// The second bytes of the loopback addresses that labs use.
const BLOCKS: std::ops::Range<u8> = 16..240;
/// The port on which balancers listen.
pub const LISTEN: u16 = 8443;
/// The first port on which discovery agents listen; each move of an agent uses the next port.
pub const DISCOVERY: u16 = 8500;
/// Upstreams listen for each balancer on this port plus the balancer's number.
pub const UPSTREAM: u16 = 10_000;
/// The port on which balancers listen for their peers.
pub const PEERS: u16 = 7946;

/// Why no block could be claimed.
#[derive(Debug, Error)]
pub enum BlockError {
    /// No socket could be created.
    #[error("failed to create a socket to claim a block of loopback addresses: {0}")]
    Socket(#[source] io::Error),
    /// Other labs have claimed all blocks.
    #[error("all blocks of loopback addresses are claimed by other lab processes")]
    AllTaken,
}

/// A block of 65,536 loopback addresses, claimed by this lab process.
pub struct Block {
    second: u8,
    _claim: Socket,
}

impl Block {
    /// Claims a block that no other lab process on this machine has claimed.
    ///
    /// # Errors
    /// Fails if all blocks are claimed or no socket can be created.
    pub fn claim() -> Result<Block, BlockError> {
        let first = u32::from(std::process::id() as u16) % u32::from(BLOCKS.end - BLOCKS.start);
        for step in 0..u32::from(BLOCKS.end - BLOCKS.start) {
            let second =
                BLOCKS.start + ((first + step) % u32::from(BLOCKS.end - BLOCKS.start)) as u8;
            let socket =
                Socket::new(Domain::IPV4, Type::STREAM, None).map_err(BlockError::Socket)?;
            let at = SocketAddr::from((Ipv4Addr::new(127, second, 255, 254), CLAIM_PORT));
            if socket.bind(&at.into()).is_ok() {
                return Ok(Block {
                    second,
                    _claim: socket,
                });
            }
        }
        Err(BlockError::AllTaken)
    }

    fn address(&self, host: u16, port: u16) -> SocketAddr {
        let [high, low] = host.to_be_bytes();
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.second, high, low)), port)
    }

    /// The first two bytes of its addresses.
    pub fn prefix(&self) -> [u8; 2] {
        [127, self.second]
    }

    /// The address on which a balancer listens.
    pub fn balancer(&self, balancer: usize) -> SocketAddr {
        self.address(0x0100 + balancer as u16, LISTEN)
    }

    /// The address at which a balancer reaches an upstream.
    pub fn upstream(&self, upstream: usize, balancer: usize) -> SocketAddr {
        self.address(0x4000 + upstream as u16, UPSTREAM + balancer as u16)
    }

    /// The address at which a balancer reaches its discovery agent, after `moves` moves.
    pub fn agent(&self, balancer: usize, moves: u16) -> SocketAddr {
        self.address(0x8000 + balancer as u16, DISCOVERY + moves)
    }

    /// The address on which a balancer listens for its peers.
    pub fn peer(&self, balancer: usize) -> SocketAddr {
        self.address(0x0100 + balancer as u16, PEERS)
    }
}
