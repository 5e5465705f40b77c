//! Observations that an instance shares with the others of its tier.
use super::{Fleet, Upstream, Zone};
use crate::interface::{Observed, Subject, TierLoad};
use std::cmp::Reverse;

/// Observed state of an upstream or zone that fails or has failed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Finding {
    /// It does not respond.
    Unresponsive,
    /// It did not respond earlier, but has responded since.
    Cleared,
}

impl Zone {
    fn finding(&self) -> Option<Finding> {
        if self.diverted >= 1.0 {
            Some(Finding::Unresponsive)
        } else if self.diverted > 0.0 {
            Some(Finding::Cleared)
        } else {
            None
        }
    }
}

impl Fleet {
    /// Zones and upstreams that fail, and those that respond again; `finding` gives the observed state of a slot.
    pub(crate) fn observed(
        &self,
        load: TierLoad,
        finding: impl Fn(usize) -> Option<Finding>,
    ) -> Observed {
        let zones = |wanted: Finding| {
            self.zones
                .by_zone
                .iter()
                .filter(move |(_, zone)| zone.finding() == Some(wanted))
                .map(|(&number, _)| Subject::Zone(number))
        };
        let upstreams = |wanted: Finding| {
            let mut matching: Vec<&Upstream> = self
                .by_id
                .values()
                .filter(|&&slot| finding(slot) == Some(wanted))
                .map(|&slot| &self.slots[slot])
                .collect();
            matching.sort_by_key(|upstream| Reverse(upstream.health.ejections));
            matching
                .into_iter()
                .map(|upstream| Subject::Upstream(upstream.endpoint.id))
        };
        let subjects = |wanted| zones(wanted).chain(upstreams(wanted)).collect();
        Observed {
            load,
            failing: subjects(Finding::Unresponsive),
            cleared: subjects(Finding::Cleared),
        }
    }
}
