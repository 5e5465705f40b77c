//! What is known of zones.
use crate::interface::{Action, Millis};
use std::collections::BTreeMap;

/// A zone as a whole, judged by more calls than any of its upstreams sees.
#[derive(Default)]
pub(crate) struct Zone {
    /// The part of its draws that are made elsewhere: 0 near, 1 left, between them returning.
    pub gone: f64,
    /// When it answered last, upstreams of which calls broke since, and what it owes in all.
    pub heard: Millis,
    pub broken: f64,
    pub owes: f64,
    /// How often it was left of late, since when it is as it is, and when it was tried last.
    pub falls: f64,
    pub since: Millis,
    pub tried: Millis,
    /// Trials since it was left.
    pub tries: u32,
}

impl Zone {
    /// Tells the operator that it is left.
    pub(crate) fn told_left(&self, zone: u16, now: Millis) -> Action {
        let (owes, since) = (self.owes, now - self.heard);
        Action::Log(format!(
            "zone {zone} is left: it owes {owes:.1} answer times, since {since:.0} ms"
        ))
    }

    /// Tells the operator how far it is back.
    pub(crate) fn told_back(&self, zone: u16) -> Action {
        let (state, part) = (
            ["near", "returning"][usize::from(self.gone > 0.0)],
            1.0 - self.gone,
        );
        Action::Log(format!(
            "zone {zone} is {state}: {part:.3} of its draws stand"
        ))
    }
}

/// The zones, judged by more calls than any upstream sees.
#[derive(Default)]
pub(crate) struct Zones {
    pub by_zone: BTreeMap<u16, Zone>,
    /// When any upstream answered last.
    pub heard: Millis,
}

impl Zones {
    /// Whether a zone is left.
    pub(crate) fn left(&self, zone: u16) -> bool {
        self.by_zone.get(&zone).is_some_and(|z| z.gone >= 1.0)
    }

    /// The part of its draws that are made elsewhere.
    pub(crate) fn gone(&self, zone: u16) -> f64 {
        self.by_zone.get(&zone).map_or(0.0, |z| z.gone)
    }

    /// Begins to reckon anew what zones owe.
    pub(crate) fn reckon(&mut self) {
        self.by_zone.values_mut().for_each(|z| z.owes = z.broken);
    }
}
