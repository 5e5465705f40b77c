//! Owns which upstreams this copy keeps connections to, for each class.
use super::limits::CYCLE;
use crate::{interface::*, state::*};

/// Calls an upstream of the subset should get per idle period, so that its connections stay warm.
const CALLS_PER_IDLE: f64 = 4.0;
/// Upstreams in the subset for each call in flight: two choices find an idle one; more cost connections.
const SUBSET_SPREAD: f64 = 2.0;
/// Never fewer upstreams in the subset than this, so that a few that fail leave enough to choose from.
pub(super) const SUBSET_LEAST: usize = 8;
/// Upstreams in it for each near one where zones are even: with half as many of other zones.
const EVEN_SPREAD: f64 = 1.5;

impl Subset {
    /// Each balancer keeps to a run of the ring, evenly placed by its number, as connections are scarce.
    pub(crate) fn choose(
        &mut self,
        slots: &[Upstream],
        by_id: &ById,
        zone: Option<u16>,
        s: &Settings,
    ) {
        let ready = |&&i: &&usize| slots[i].member.availability == Availability::Ready;
        let mut ring: Vec<usize> = by_id.values().filter(ready).copied().collect();
        // Groups stand together on it, so that a guarded request finds others of its group in the subset.
        ring.sort_by_key(|&i| {
            let m = &slots[i].member;
            (
                ring_place(UpstreamId(m.group.into())),
                ring_place(m.id),
                m.id,
            )
        });
        self.ready = ring.len();
        let own = |&i: &usize| Some(slots[i].member.zone) == zone;
        let (even, most) = (
            f64::from(s.index % s.balancers) / f64::from(s.balancers),
            self.size,
        );
        // Even among the copies of a zone as well, however they are numbered.
        let golden = (f64::from(s.index) * 0.618_033_988_749_895).fract();
        let run = |from: &[usize], place: f64, most: usize| -> Vec<usize> {
            let n = from.len();
            (0..n.min(most))
                .map(|k| from[((n as f64 * place) as usize + k) % n])
                .collect()
        };
        for (pool, class) in self.pools.iter_mut().zip(&s.classes) {
            let allowed = ring
                .iter()
                .copied()
                .filter(|&i| class.admits(&slots[i].member));
            let (near, far): (Vec<usize>, Vec<usize>) = allowed.partition(own);
            pool.members = run(&near, golden, most);
            pool.near = pool.members.len();
            pool.members.extend(run(
                &far,
                even,
                if near.is_empty() {
                    most
                } else {
                    most.div_ceil(2)
                },
            ));
        }
        // All balancers of a zone hold the few upstreams that it may have: they share these with more others.
        let zones: std::collections::BTreeSet<u16> =
            ring.iter().map(|&i| slots[i].member.zone).collect();
        let near = ring.iter().copied().filter(own).count() * zones.len();
        let held = self
            .pools
            .iter()
            .map(|p| p.members.len())
            .fold(1, usize::max) as f64;
        let held_near = self.pools.iter().map(|p| p.near).fold(1, usize::max) as f64;
        let part = near as f64 / ring.len() as f64 * held / held_near / EVEN_SPREAD;
        self.each = if near > 0 { part.min(1.0) } else { 1.0 } / held;
    }

    /// The subset follows the traffic that keeps it busy and warm; small changes are not worth connections.
    pub(crate) fn wants(
        &self,
        latency: Millis,
        s: &Settings,
        calls_per_cycle: f64,
    ) -> Option<usize> {
        let per_rate = (latency * SUBSET_SPREAD).min(s.idle_close / CALLS_PER_IDLE);
        let want = ((calls_per_cycle / CYCLE * per_rate).min(1e6) as usize).max(SUBSET_LEAST);
        (want * 4 < self.size * 3 || want * 3 > self.size * 4).then_some(want)
    }
}
