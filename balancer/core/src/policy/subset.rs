//! Decides which upstreams this instance has connections to, for each class.
use super::limits::CYCLE;
use crate::{interface::*, state::*};
use std::collections::BTreeSet;

/// Calls an upstream of the subset should get per idle period, so that its connections stay open.
const CALLS_PER_IDLE: f64 = 4.0;
/// Upstreams in the subset for each call in flight: two choices find an idle one; more cost connections.
const SUBSET_SPREAD: f64 = 2.0;
/// Never fewer upstreams in the subset than this, so that a few that fail leave enough to choose from.
pub(super) const MIN_SUBSET: usize = 8;
/// Upstreams in it for each local one where zones are even: with half as many of other zones.
const EVEN_SPREAD: f64 = 1.5;
/// Fractional part of the golden ratio: its multiples are spread evenly, however many there are.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// The first so many of the ring from a position on, which is a part of the ring.
fn run_of_ring(ring: &[usize], position: f64, max: usize) -> Vec<usize> {
    let size = ring.len();
    let start = (size as f64 * position) as usize;
    (0..size.min(max))
        .map(|offset| ring[(start + offset) % size])
        .collect()
}

impl Subset {
    /// Each balancer uses a run of the ring, evenly placed by its number, as connections are scarce.
    pub(crate) fn choose(
        &mut self,
        slots: &[Upstream],
        by_id: &SlotById,
        local_zone: Option<u16>,
        settings: &Settings,
    ) {
        let endpoint = |slot: usize| &slots[slot].endpoint;
        let is_local = |&slot: &usize| Some(endpoint(slot).zone) == local_zone;
        let mut ring: Vec<usize> = by_id
            .values()
            .copied()
            .filter(|&slot| endpoint(slot).availability == Availability::Ready)
            .collect();
        // Groups stand together on it, so that a guarded request finds others of its group in the subset.
        ring.sort_by_key(|&slot| {
            let endpoint = endpoint(slot);
            let group = UpstreamId(endpoint.group.into());
            (
                ring_position(group),
                ring_position(endpoint.id),
                endpoint.id,
            )
        });
        self.ready = ring.len();
        let remote_position =
            f64::from(settings.index % settings.balancers) / f64::from(settings.balancers);
        // Even among the instances of a zone as well, however they are numbered.
        let local_position = (f64::from(settings.index) * GOLDEN_RATIO).fract();
        let max = self.max_members;
        for (pool, class) in self.pools.iter_mut().zip(&settings.classes) {
            let allowed = ring
                .iter()
                .copied()
                .filter(|&slot| class.admits(endpoint(slot)));
            let (local, remote): (Vec<usize>, Vec<usize>) = allowed.partition(is_local);
            let max_remote = if local.is_empty() {
                max
            } else {
                max.div_ceil(2)
            };
            pool.members = run_of_ring(&local, local_position, max);
            pool.local = pool.members.len();
            pool.members
                .extend(run_of_ring(&remote, remote_position, max_remote));
        }
        let zones: BTreeSet<u16> = ring.iter().map(|&slot| endpoint(slot).zone).collect();
        let local = ring.iter().copied().filter(is_local).count();
        self.load_per_member = self.load_per_member(local, zones.len());
    }

    /// The part of what this balancer carries that one member carries, with so many ready upstreams in the local zone.
    /// All balancers of a zone use the few upstreams that it may have: they share these with more others.
    fn load_per_member(&self, local: usize, zones: usize) -> f64 {
        let members = self.pools.iter().map(|pool| pool.members.len());
        let members = members.fold(1, usize::max) as f64;
        let local_members = self.pools.iter().map(|pool| pool.local);
        let local_members = local_members.fold(1, usize::max) as f64;
        let local = local * zones;
        if local == 0 {
            return 1.0 / members;
        }
        let part = local as f64 / self.ready as f64 * members / local_members / EVEN_SPREAD;
        part.min(1.0) / members
    }

    /// The size that the subset should change to. It follows the traffic that keeps its connections open; small
    /// changes are not worth new ones.
    pub(crate) fn new_size(
        &self,
        response_time: Millis,
        settings: &Settings,
        calls_per_cycle: f64,
    ) -> Option<usize> {
        let per_rate = (response_time * SUBSET_SPREAD).min(settings.idle_close / CALLS_PER_IDLE);
        let wanted = (calls_per_cycle / CYCLE * per_rate).min(1e6) as usize;
        let wanted = wanted.max(MIN_SUBSET);
        let size = self.max_members;
        (wanted * 4 < size * 3 || wanted * 3 > size * 4).then_some(wanted)
    }
}
