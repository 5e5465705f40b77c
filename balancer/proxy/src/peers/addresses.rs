//! Addresses of the tier's replicas: parsed from the configuration only where peers are on, since a deployment without
//! them may state there what it likes. Owns no state.
use balancer_gossip::Member;
use serde_json::Value;
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};

/// Addresses as the configuration states them, not parsed yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnparsedAddresses {
    /// `peer_listen`
    pub listen: Value,
    /// `peers`
    pub peers: Value,
}

/// Where this replica listens for the others, and where each replica listens.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Addresses {
    /// Where this replica listens.
    pub listen: SocketAddr,
    /// An address for each replica of the tier, its own included, in the order of their numbers.
    pub peers: Vec<SocketAddr>,
}

/// What is wrong with the addresses; begins with the field at fault.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum AddressesError {
    /// `peer_listen` is no address.
    #[error("peer_listen: {0}")]
    Listen(#[source] InvalidAddress),
    /// `peers` is not there.
    #[error("peers: missing")]
    Missing,
    /// `peers` is no list.
    #[error("peers: no list")]
    NoList,
    /// There is not one for each replica.
    #[error("peers: {addresses} addresses for {replicas} balancers")]
    Count {
        /// How many are given.
        addresses: usize,
        /// How many replicas there are.
        replicas: u32,
    },
    /// There are more than a member's number can tell apart.
    #[error("peers: {0} are more than {max}", max = u16::MAX)]
    TooMany(usize),
    /// One is no address.
    #[error("peers[{position}]: {cause}")]
    Peer {
        /// Its position.
        position: usize,
        /// Why.
        #[source]
        cause: InvalidAddress,
    },
    /// One has no port.
    #[error("peers[{position}]: {peer} has no port")]
    NoPort {
        /// Its position.
        position: usize,
        /// The address.
        peer: SocketAddr,
    },
    /// One is there twice.
    #[error("peers[{position}]: {peer} is peers[{first}] already")]
    Twice {
        /// Its position.
        position: usize,
        /// The address.
        peer: SocketAddr,
        /// The position before.
        first: usize,
    },
}

/// Why a value is no address.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum InvalidAddress {
    /// It is not there.
    #[error("missing")]
    Missing,
    /// It is some other text.
    #[error("{0:?} is no IPv4 address and port")]
    Text(String),
    /// It is no text.
    #[error("{0} is no IPv4 address and port")]
    NoText(Value),
}

impl UnparsedAddresses {
    /// Parses them for a tier of so many replicas.
    ///
    /// # Errors
    /// Names the field at fault.
    pub(crate) fn parse(&self, replicas: u32) -> Result<Addresses, AddressesError> {
        let listen = address(&self.listen).map_err(AddressesError::Listen)?;
        let list = match &self.peers {
            Value::Array(list) => list,
            Value::Null => return Err(AddressesError::Missing),
            _ => return Err(AddressesError::NoList),
        };
        if u32::try_from(list.len()) != Ok(replicas) {
            return Err(AddressesError::Count {
                addresses: list.len(),
                replicas,
            });
        }
        if u16::try_from(list.len()).is_err() {
            return Err(AddressesError::TooMany(list.len()));
        }
        let peers = parse_peers(list)?;
        Ok(Addresses { listen, peers })
    }
}

fn parse_peers(list: &[Value]) -> Result<Vec<SocketAddr>, AddressesError> {
    let (mut peers, mut seen) = (Vec::new(), HashMap::new());
    for (position, value) in list.iter().enumerate() {
        let peer = address(value).map_err(|cause| AddressesError::Peer { position, cause })?;
        if peer.port() == 0 {
            return Err(AddressesError::NoPort { position, peer });
        }
        if let Some(first) = seen.insert(peer, position) {
            return Err(AddressesError::Twice {
                position,
                peer,
                first,
            });
        }
        peers.push(peer);
    }
    Ok(peers)
}

fn address(value: &Value) -> Result<SocketAddr, InvalidAddress> {
    match value {
        Value::Null => Err(InvalidAddress::Missing),
        Value::String(text) => {
            let address = text.parse::<SocketAddrV4>();
            address
                .map(SocketAddr::V4)
                .map_err(|_| InvalidAddress::Text(text.clone()))
        }
        other => Err(InvalidAddress::NoText(other.clone())),
    }
}

impl Addresses {
    /// Returns which member sends from which address.
    pub(crate) fn senders(&self) -> HashMap<SocketAddr, Member> {
        // There are no more than a member's number can tell apart.
        (0u16..)
            .zip(&self.peers)
            .map(|(number, &peer)| (peer, Member(number)))
            .collect()
    }
}
