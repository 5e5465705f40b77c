//! What a copy tells the others of its tier, as they are told it.
use super::{Fleet, Upstream, Zone};
use crate::interface::{Observed, Subject, TierLoad};
use std::cmp::Reverse;

impl Fleet {
    /// Zones that are left, and upstreams that there is evidence against; and those that have answered again.
    pub(crate) fn observed(
        &self,
        load: TierLoad,
        evidence: impl Fn(usize) -> Option<bool>,
    ) -> Observed {
        let zones = |left: bool| {
            let of = move |z: &Zone| z.gone > 0.0 && (z.gone >= 1.0) == left;
            self.zones
                .by_zone
                .iter()
                .filter(move |(_, z)| of(z))
                .map(|(&zone, _)| Subject::Zone(zone))
        };
        let upstreams = |against: bool| {
            let told = self
                .by_id
                .values()
                .filter(|&&i| evidence(i) == Some(against));
            let mut told: Vec<&Upstream> = told.map(|&i| &self.slots[i]).collect();
            told.sort_by_key(|u| Reverse(u.health.ejections));
            told.into_iter().map(|u| Subject::Upstream(u.member.id))
        };
        let against = zones(true).chain(upstreams(true)).collect();
        let cleared = zones(false).chain(upstreams(false)).collect();
        Observed {
            load,
            against,
            cleared,
        }
    }
}
