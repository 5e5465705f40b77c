//! The ring of addresses on which each replica sends its heartbeats to its successors. It owns the addresses of the view
//! and the seeds; who is reachable is known to `membership`.
use magpiegap_protocol::View;
use std::collections::BTreeSet;

/// How many successors on the ring are sent a replica's heartbeats: in a core of up to nine, all others.
const MAX_MONITORS: usize = 8;

/// The addresses that may be on the ring, without this replica's own.
#[derive(Clone, Debug)]
pub(crate) struct Ring {
    own: u32,
    /// Where others may be found while too few of the view are reachable.
    seeds: BTreeSet<u32>,
    /// The addresses of the newest view: of its voters and of its chain.
    view_addresses: BTreeSet<u32>,
}

impl Ring {
    /// A ring for the replica at `own`.
    pub(crate) fn new(own: u32, seeds: &[u32], view: &View) -> Ring {
        let mut ring = Ring {
            own,
            seeds: BTreeSet::new(),
            view_addresses: BTreeSet::new(),
        };
        ring.set_seeds(seeds);
        ring.start_view(view);
        ring
    }

    /// Replaces the addresses at which others may be found.
    pub(crate) fn set_seeds(&mut self, seeds: &[u32]) {
        self.seeds = self.without_own(seeds.iter().copied());
    }

    /// Takes up the addresses of a view.
    pub(crate) fn start_view(&mut self, view: &View) {
        let voters = view.voters.iter().map(|member| member.address);
        let chain = view.chain.iter().map(|replica| replica.member.address);
        self.view_addresses = self.without_own(voters.chain(chain));
    }

    fn without_own(&self, addresses: impl Iterator<Item = u32>) -> BTreeSet<u32> {
        addresses.filter(|address| *address != self.own).collect()
    }

    /// Whether so few of the view are among these addresses that the seeds are sent heartbeats too.
    pub(crate) fn needs_seeds(&self, reachable: &BTreeSet<u32>) -> bool {
        let of_view = self.view_addresses.intersection(reachable).count();
        2 * of_view < self.view_addresses.len() || self.view_addresses.is_empty()
    }

    /// The addresses on the ring: of the view, those of the peers, and with `needs_seeds` the seeds.
    pub(crate) fn addresses(
        &self,
        peers: impl Iterator<Item = u32>,
        needs_seeds: bool,
    ) -> BTreeSet<u32> {
        let mut addresses: BTreeSet<u32> =
            self.view_addresses.iter().copied().chain(peers).collect();
        if needs_seeds {
            addresses.extend(&self.seeds);
        }
        addresses.remove(&self.own);
        addresses
    }

    /// The monitors of this replica on a ring of these addresses: its successors.
    pub(crate) fn monitors(&self, addresses: &BTreeSet<u32>) -> Vec<u32> {
        let after = addresses.range(self.own..);
        let before = addresses.range(..self.own);
        after.chain(before).copied().take(MAX_MONITORS).collect()
    }
}

/// Whether a ring of these addresses is so small that everyone monitors everyone.
pub(crate) fn all_are_monitors(addresses: &BTreeSet<u32>) -> bool {
    addresses.len() <= MAX_MONITORS
}
