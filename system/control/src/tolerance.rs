//! The losses that are tolerated, and whether a set of replicas or voters withstands them.
use magpiegap_protocol::{FailureDomainId, Location};
use std::collections::BTreeMap;

/// How much may be lost at once without losing committed data: this many machines, or everything in this many zones or
/// regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// The number of machines that may be lost.
    pub machines: usize,
    /// The number of zones that may be lost.
    pub zones: usize,
    /// The number of regions that may be lost.
    pub regions: usize,
}

impl Tolerance {
    /// Tolerates the loss of machines only.
    pub fn of_machines(machines: usize) -> Tolerance {
        Tolerance {
            machines,
            zones: 0,
            regions: 0,
        }
    }

    /// Whether at least one of the replicas at these locations survives any tolerated loss. All unknown zones count as
    /// one zone, and all unknown regions as one region.
    pub fn replica_survives(&self, locations: &[Location]) -> bool {
        locations.len() > self.machines
            && count_by(locations, |location| location.zone).len() > self.zones
            && count_by(locations, |location| location.region).len() > self.regions
    }

    /// Whether a majority of the voters at these locations survives any tolerated loss. All unknown zones count as one
    /// zone, and all unknown regions as one region.
    pub fn majority_survives(&self, locations: &[Location]) -> bool {
        let majority = locations.len() / 2 + 1;
        let zones = sum_of_largest(count_by(locations, |location| location.zone), self.zones);
        let regions = sum_of_largest(
            count_by(locations, |location| location.region),
            self.regions,
        );
        let lost = self.machines.max(zones).max(regions);
        locations.len().saturating_sub(lost) >= majority
    }

    /// The minimum number of voters, which suffices when each is in a failure domain of its own.
    pub fn min_voters(&self) -> usize {
        2 * self.machines.max(self.zones).max(self.regions) + 1
    }
}

fn count_by(
    locations: &[Location],
    domain: impl Fn(&Location) -> FailureDomainId,
) -> BTreeMap<FailureDomainId, usize> {
    let mut counts = BTreeMap::new();
    for location in locations {
        *counts.entry(domain(location)).or_insert(0) += 1;
    }
    counts
}

/// The number of locations in the largest `domains` failure domains.
fn sum_of_largest(counts: BTreeMap<FailureDomainId, usize>, domains: usize) -> usize {
    let mut counts: Vec<usize> = counts.into_values().collect();
    counts.sort_unstable_by(|left, right| right.cmp(left));
    counts.into_iter().take(domains).sum()
}
