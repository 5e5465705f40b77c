//! The ring of addresses, on which each replica sends heartbeats to its successors. This module owns the addresses of
//! the view and the seeds; reachability is tracked in `membership`.
use magpiegap_protocol::View;
use std::collections::BTreeSet;

/// Number of successors on the ring that monitor a replica. In a group of up to nine, these are all the others.
const MAX_MONITORS: usize = 8;

/// The addresses that may be on the ring, except this replica's own.
#[derive(Clone, Debug)]
pub(crate) struct Ring {
    own: u32,
    /// Addresses at which other coordinators may be reachable; used while too few members of the view are reachable.
    seeds: BTreeSet<u32>,
    /// The addresses of the voters and the chain of the newest view.
    view_addresses: BTreeSet<u32>,
}

impl Ring {
    /// Creates the ring of the replica at address `own`.
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

    /// Replaces the seed addresses.
    pub(crate) fn set_seeds(&mut self, seeds: &[u32]) {
        self.seeds = self.without_own(seeds.iter().copied());
    }

    /// Replaces the addresses of the view.
    pub(crate) fn start_view(&mut self, view: &View) {
        let voters = view.voters.iter().map(|member| member.address);
        let chain = view.chain.iter().map(|replica| replica.member.address);
        self.view_addresses = self.without_own(voters.chain(chain));
    }

    fn without_own(&self, addresses: impl Iterator<Item = u32>) -> BTreeSet<u32> {
        addresses.filter(|address| *address != self.own).collect()
    }

    /// Whether less than half of the view's addresses are reachable, or the view has none besides this replica's own.
    pub(crate) fn needs_seeds(&self, reachable: &BTreeSet<u32>) -> bool {
        let of_view = self.view_addresses.intersection(reachable).count();
        2 * of_view < self.view_addresses.len() || self.view_addresses.is_empty()
    }

    /// The addresses on the ring: those of the view and of the peers, and the seeds if `needs_seeds`.
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

    /// The monitors of this replica on a ring of these addresses, which are its successors.
    pub(crate) fn monitors(&self, addresses: &BTreeSet<u32>) -> Vec<u32> {
        let after = addresses.range(self.own..);
        let before = addresses.range(..self.own);
        after.chain(before).copied().take(MAX_MONITORS).collect()
    }
}

/// Whether a ring of these addresses is so small that all replicas monitor each other.
pub(crate) fn is_full_mesh(addresses: &BTreeSet<u32>) -> bool {
    addresses.len() <= MAX_MONITORS
}
