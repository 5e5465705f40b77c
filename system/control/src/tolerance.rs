//! What may be lost at once, and which replicas and voters suffice for it.
use magpiegap_protocol::{FailureDomainId, Location};
use std::collections::BTreeMap;

/// What may be lost at once while everything is kept: so many machines, or all that is in so many zones or regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// Machines.
    pub machines: usize,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
}

impl Tolerance {
    /// A tolerance of machines only.
    pub fn of_machines(machines: usize) -> Tolerance {
        Tolerance {
            machines,
            zones: 0,
            regions: 0,
        }
    }

    /// Whether one of the replicas at these locations is left after any loss. Unknown zones and regions count as one.
    pub fn keeps_replica(&self, locations: &[Location]) -> bool {
        locations.len() > self.machines
            && count_by(locations, |location| location.zone).len() > self.zones
            && count_by(locations, |location| location.region).len() > self.regions
    }

    /// Whether a majority of the voters at these locations is left after any loss. Unknown zones and regions count as one.
    pub fn keeps_majority(&self, locations: &[Location]) -> bool {
        let majority = locations.len() / 2 + 1;
        let zones = largest(count_by(locations, |location| location.zone), self.zones);
        let regions = largest(
            count_by(locations, |location| location.region),
            self.regions,
        );
        let lost = self.machines.max(zones).max(regions);
        locations.len().saturating_sub(lost) >= majority
    }

    /// How many voters are needed where each is in a failure domain of its own.
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

/// How many are in the so many largest failure domains.
fn largest(counts: BTreeMap<FailureDomainId, usize>, domains: usize) -> usize {
    let mut counts: Vec<usize> = counts.into_values().collect();
    counts.sort_unstable_by(|one, other| other.cmp(one));
    counts.into_iter().take(domains).sum()
}
