//! Subsetting: which upstreams this instance connects to, by class.
use super::limits::CYCLE;
use crate::{interface::*, state::*};
use std::collections::BTreeSet;

/// Target number of calls per idle timeout to each upstream of the subset, so that its connections stay open.
const CALLS_PER_IDLE: f64 = 4.0;
/// Upstreams in the subset per call in flight: enough to find an idle one in two draws without opening more connections
/// than needed.
const SUBSET_SPREAD: f64 = 2.0;
/// Minimum size of the subset, so that enough upstreams remain when some fail.
pub(super) const MIN_SUBSET: usize = 8;
/// Ratio of subset size to local members if zones are equally large: half as many remote members as local ones.
const EVEN_ZONE_RATIO: f64 = 1.5;
/// Fractional part of the golden ratio; its multiples modulo one are evenly distributed for any count.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Up to `max` consecutive members of the ring, starting at `position`, a fraction of the ring's length.
fn ring_segment(ring: &[usize], position: f64, max: usize) -> Vec<usize> {
    let size = ring.len();
    let start = (size as f64 * position) as usize;
    (0..size.min(max))
        .map(|offset| ring[(start + offset) % size])
        .collect()
}

impl Subset {
    /// Chooses a segment of the ring, evenly placed by the balancer's index. A subset limits the number of connections.
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
        // Members of a group are adjacent, so that the subset contains other members for retries of guarded requests.
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
        // Evenly distributed among the instances of a zone as well, whatever their indexes.
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
            pool.members = ring_segment(&local, local_position, max);
            pool.local = pool.members.len();
            pool.members
                .extend(ring_segment(&remote, remote_position, max_remote));
        }
        let zones: BTreeSet<u16> = ring.iter().map(|&slot| endpoint(slot).zone).collect();
        let local = ring.iter().copied().filter(is_local).count();
        self.load_per_member = self.load_per_member(local, zones.len());
    }

    /// Fraction of this balancer's calls that one member gets, with `local` ready upstreams in the local zone. If that zone
    /// has few upstreams, all its balancers share them, which lowers the fraction.
    fn load_per_member(&self, local: usize, zones: usize) -> f64 {
        let members = self.pools.iter().map(|pool| pool.members.len());
        let members = members.fold(1, usize::max) as f64;
        let local_members = self.pools.iter().map(|pool| pool.local);
        let local_members = local_members.fold(1, usize::max) as f64;
        let local = local * zones;
        if local == 0 {
            return 1.0 / members;
        }
        let fraction = local as f64 / self.ready as f64 * members / local_members / EVEN_ZONE_RATIO;
        fraction.min(1.0) / members
    }

    /// New size of the subset, if it should change. It follows the traffic, which keeps the connections open; small changes
    /// do not justify new connections.
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
