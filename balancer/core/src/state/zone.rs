//! What is known of zones.
use crate::interface::{Action, Millis};
use std::collections::BTreeMap;

/// A zone, judged by more calls than any of its upstreams sees.
#[derive(Default)]
pub(crate) struct Zone {
    /// The part of its draws that are made elsewhere: 0 none, 1 ejected, between them returning.
    pub diverted: f64,
    pub last_response: Millis,
    /// Upstreams of which calls broke since the last response.
    pub broken_upstreams: f64,
    /// Overdue response times of its calls in flight and broken upstreams.
    pub overdue: f64,
    /// How often it was ejected of late.
    pub ejections: f64,
    /// When `diverted` last changed.
    pub changed_at: Millis,
    pub last_trial: Millis,
    /// Trials since it was ejected.
    pub trials: u32,
}

impl Zone {
    /// Ejects it.
    pub(crate) fn eject(&mut self, now: Millis) {
        self.diverted = 1.0;
        self.changed_at = now;
        self.ejections += 1.0;
        self.last_trial = now;
        self.trials = 0;
    }

    /// Reports to the operator that it is ejected.
    pub(crate) fn report_ejection(&self, zone: u16, now: Millis) -> Action {
        let overdue = self.overdue;
        let since = now - self.last_response;
        Action::Log(format!(
            "zone {zone} is left: it owes {overdue:.1} answer times, since {since:.0} ms"
        ))
    }

    /// Reports to the operator how far it has returned.
    pub(crate) fn report_return(&self, zone: u16) -> Action {
        let state = if self.diverted > 0.0 {
            "returning"
        } else {
            "near"
        };
        let part = 1.0 - self.diverted;
        Action::Log(format!(
            "zone {zone} is {state}: {part:.3} of its draws stand"
        ))
    }
}

/// The zones, judged by more calls than any upstream sees.
#[derive(Default)]
pub(crate) struct Zones {
    pub by_zone: BTreeMap<u16, Zone>,
    /// When any upstream last responded.
    pub last_response: Millis,
}

impl Zones {
    /// Whether a zone is ejected.
    pub(crate) fn is_ejected(&self, zone: u16) -> bool {
        self.diverted(zone) >= 1.0
    }

    /// The part of a zone's draws that are made elsewhere.
    pub(crate) fn diverted(&self, zone: u16) -> f64 {
        self.by_zone.get(&zone).map_or(0.0, |zone| zone.diverted)
    }

    /// Begins a new count of what is overdue in each zone.
    pub(crate) fn restart_overdue(&mut self) {
        for zone in self.by_zone.values_mut() {
            zone.overdue = zone.broken_upstreams;
        }
    }
}
