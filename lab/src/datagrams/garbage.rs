//! Datagrams that nobody meant: noise, and broken or forged copies of what was sent. Owns what was sent lately.
use crate::draw::Calls;
use std::collections::VecDeque;

/// Datagrams sent lately that garbage is made of.
const LATELY: usize = 64;
/// Noise is shorter than this, in bytes; datagrams that are meant have 256 at most.
const NOISE: usize = 300;

/// Makes garbage.
pub(super) struct Garbage {
    lately: VecDeque<Vec<u8>>,
    drawn: Calls,
}

impl Garbage {
    pub(super) fn new(seed: u64) -> Garbage {
        Garbage {
            lately: VecDeque::new(),
            drawn: Calls::new(!seed),
        }
    }

    /// Somebody has sent this.
    pub(super) fn sent(&mut self, bytes: &[u8]) {
        if self.lately.len() == LATELY {
            self.lately.pop_front();
        }
        self.lately.push_back(bytes.to_vec());
    }

    /// The next one, and which of these balancers it seems to come from. What is whole comes from a stranger's address:
    /// from a peer's it would be no garbage, but a repeat.
    pub(super) fn next(&mut self, peers: &[usize]) -> (Option<usize>, Vec<u8>) {
        let mut below = |n: usize| (self.drawn.seed() % n.max(1) as u64) as usize;
        let peer = peers.get(below(peers.len())).copied();
        let mut copy = self
            .lately
            .get(below(self.lately.len()))
            .cloned()
            .unwrap_or_default();
        match below(4) {
            0 => (peer, (0..below(NOISE)).map(|_| below(256) as u8).collect()),
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
