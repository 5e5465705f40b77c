//! The addresses of the tier's replicas. They are parsed only if peers are on, because a deployment without peers may
//! have invalid values in these fields. Owns no state.
use balancer_gossip::Member;
use serde_json::Value;
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};

/// Unparsed addresses from the configuration.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnparsedAddresses {
    /// The value of `peer_listen`.
    pub listen: Value,
    /// The value of `peers`.
    pub peers: Value,
}

/// The listen address of this replica, and the addresses of all replicas.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Addresses {
    /// The address that this replica listens on.
    pub listen: SocketAddr,
    /// The address of each replica of the tier, including this one, indexed by member number.
    pub peers: Vec<SocketAddr>,
}

/// Why the addresses are invalid. The text begins with the name of the invalid field.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum AddressesError {
    /// `peer_listen` is not an address.
    #[error("peer_listen: {0}")]
    Listen(#[source] InvalidAddress),
    /// `peers` is missing.
    #[error("peers: missing")]
    Missing,
    /// `peers` is not a list.
    #[error("peers: not a list")]
    NotAList,
    /// The number of addresses differs from the number of replicas.
    #[error("peers: {addresses} addresses for {replicas} balancers")]
    Count {
        /// Number of addresses.
        addresses: usize,
        /// Number of replicas.
        replicas: u32,
    },
    /// There are more addresses than member numbers.
    #[error("peers: {0} addresses, more than the maximum of {max}", max = u16::MAX)]
    TooMany(usize),
    /// An element is not an address.
    #[error("peers[{position}]: {cause}")]
    Peer {
        /// The position of the element.
        position: usize,
        /// The cause.
        #[source]
        cause: InvalidAddress,
    },
    /// An address has no port.
    #[error("peers[{position}]: {peer} has no port")]
    NoPort {
        /// The position of the element.
        position: usize,
        /// The address.
        peer: SocketAddr,
    },
    /// An address is a duplicate.
    #[error("peers[{position}]: {peer} duplicates peers[{first}]")]
    Duplicate {
        /// The position of the element.
        position: usize,
        /// The address.
        peer: SocketAddr,
        /// The position of the first occurrence.
        first: usize,
    },
}

/// Why a value is not an address.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum InvalidAddress {
    /// The value is missing.
    #[error("missing")]
    Missing,
    /// The value is a string but not an address.
    #[error("{0:?} is not an IPv4 address and port")]
    Text(String),
    /// The value is not a string.
    #[error("{0} is not an IPv4 address and port")]
    NotAString(Value),
}

impl UnparsedAddresses {
    /// Parses the addresses of a tier with this number of replicas.
    ///
    /// # Errors
    /// Names the invalid field.
    pub(crate) fn parse(&self, replicas: u32) -> Result<Addresses, AddressesError> {
        let listen = address(&self.listen).map_err(AddressesError::Listen)?;
        let list = match &self.peers {
            Value::Array(list) => list,
            Value::Null => return Err(AddressesError::Missing),
            _ => return Err(AddressesError::NotAList),
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
            return Err(AddressesError::Duplicate {
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
        other => Err(InvalidAddress::NotAString(other.clone())),
    }
}

impl Addresses {
    /// Returns the member at each address.
    pub(crate) fn senders(&self) -> HashMap<SocketAddr, Member> {
        // Parsing ensures that there are no more addresses than member numbers.
        (0u16..)
            .zip(&self.peers)
            .map(|(number, &peer)| (peer, Member(number)))
            .collect()
    }
}
