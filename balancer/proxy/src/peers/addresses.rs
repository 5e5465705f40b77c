//! Where the copies of the tier hear each other: read from the configuration only where peers are on, since a
//! deployment without them may say there what it likes. Owns no state.
use balancer_gossip::Member;
use serde_json::Value;
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4};

/// What the configuration says of peers, unread.
#[derive(Clone, Debug, Default)]
pub(crate) struct Unread {
    /// `peer_listen`
    pub listen: Value,
    /// `peers`
    pub peers: Value,
}

/// Where this copy hears the others, and where each of the tier hears this one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Addresses {
    /// Where this copy listens.
    pub listen: SocketAddr,
    /// An address for each copy of the tier, its own included, in the order of their numbers.
    pub peers: Vec<SocketAddr>,
}

impl Unread {
    /// Reads it for a tier of so many copies; names the field at fault.
    pub(crate) fn read(&self, copies: u32) -> Result<Addresses, String> {
        let listen = address(&self.listen).map_err(|what| format!("peer_listen: {what}"))?;
        let list = match &self.peers {
            Value::Array(list) => list,
            Value::Null => return Err("peers: missing".into()),
            _ => return Err("peers: no list".into()),
        };
        if u32::try_from(list.len()) != Ok(copies) {
            return Err(format!(
                "peers: {} addresses for {copies} balancers",
                list.len()
            ));
        }
        if u16::try_from(list.len()).is_err() {
            return Err(format!("peers: {} are more than {}", list.len(), u16::MAX));
        }
        let (mut peers, mut seen) = (Vec::new(), HashMap::new());
        for (i, value) in list.iter().enumerate() {
            let peer = address(value).map_err(|what| format!("peers[{i}]: {what}"))?;
            if peer.port() == 0 {
                return Err(format!("peers[{i}]: {peer} has no port"));
            }
            if let Some(first) = seen.insert(peer, i) {
                return Err(format!("peers[{i}]: {peer} is peers[{first}] already"));
            }
            peers.push(peer);
        }
        Ok(Addresses { listen, peers })
    }
}

fn address(value: &Value) -> Result<SocketAddr, String> {
    match value {
        Value::Null => Err("missing".into()),
        Value::String(text) => {
            let address = text.parse::<SocketAddrV4>();
            address
                .map(SocketAddr::V4)
                .map_err(|_| format!("{text:?} is no IPv4 address and port"))
        }
        other => Err(format!("{other} is no IPv4 address and port")),
    }
}

impl Addresses {
    /// Who sends from which address.
    pub(crate) fn senders(&self) -> HashMap<SocketAddr, Member> {
        // There are no more than a member's number can tell apart.
        (0u16..)
            .zip(&self.peers)
            .map(|(i, &peer)| (peer, Member(i)))
            .collect()
    }
}
