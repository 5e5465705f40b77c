//! Garbage datagrams: random bytes, and damaged or forged copies of datagrams. Owns the recently sent datagrams.
use crate::draw::Draws;
use std::collections::VecDeque;

/// The number of recent datagrams that copies are made of.
const MAX_RECENT: usize = 64;
/// Random datagrams are shorter than this, in bytes; regular ones have at most 256.
const MAX_NOISE_BYTES: usize = 300;

/// Generates garbage datagrams.
pub(super) struct Garbage {
    recent: VecDeque<Vec<u8>>,
    draws: Draws,
}

impl Garbage {
    pub(super) fn new(seed: u64) -> Garbage {
        Garbage {
            recent: VecDeque::new(),
            draws: Draws::new(!seed),
        }
    }

    /// Records a datagram that a balancer has sent.
    pub(super) fn record_sent(&mut self, bytes: &[u8]) {
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(bytes.to_vec());
    }

    /// Returns the next garbage datagram, and the peer whose address it is sent from. An unmodified copy is sent from
    /// an unknown address (`None`): from a peer's address it would be a valid duplicate.
    pub(super) fn next(&mut self, peers: &[usize]) -> (Option<usize>, Vec<u8>) {
        let mut below = |n: usize| (self.draws.seed() % n.max(1) as u64) as usize;
        let peer = peers.get(below(peers.len())).copied();
        let mut copy = self
            .recent
            .get(below(self.recent.len()))
            .cloned()
            .unwrap_or_default();
        match below(4) {
            0 => (
                peer,
                (0..below(MAX_NOISE_BYTES))
                    .map(|_| below(256) as u8)
                    .collect(),
            ),
            1 => {
                copy.truncate(below(copy.len()));
                (peer, copy)
            }
            2 if !copy.is_empty() => {
                let (at, bit) = (below(copy.len()), below(8));
                copy[at] ^= 1 << bit;
                (peer, copy)
            }
            _ => (None, copy),
        }
    }
}
