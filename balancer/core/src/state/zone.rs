//! State of zones.
use crate::interface::{Action, Millis};
use std::collections::BTreeMap;

/// A zone. It gets more calls than any single upstream, so that failures are detected sooner.
#[derive(Default)]
pub(crate) struct Zone {
    /// Fraction of its draws that are diverted to other zones: 1 if ejected, between 0 and 1 while returning.
    pub diverted: f64,
    pub last_response: Millis,
    /// Upstreams with calls that failed without a response since the zone's last response.
    pub broken_upstreams: f64,
    /// Total overdue time of its calls in flight, in expected response times, plus its broken upstreams.
    pub overdue: f64,
    /// Number of recent ejections, decaying over time.
    pub ejections: f64,
    /// When `diverted` last changed or the zone last failed.
    pub changed_at: Millis,
    pub last_trial: Millis,
    /// Trials since the ejection.
    pub trials: u32,
}

impl Zone {
    pub(crate) fn eject(&mut self, now: Millis) {
        self.diverted = 1.0;
        self.changed_at = now;
        self.ejections += 1.0;
        self.last_trial = now;
        self.trials = 0;
    }

    /// Logs that the zone was ejected.
    pub(crate) fn report_ejection(&self, zone: u16, now: Millis) -> Action {
        let overdue = self.overdue;
        let since = now - self.last_response;
        Action::Log(format!(
            "zone {zone} ejected: {overdue:.1} response times overdue, last response {since:.0} ms ago"
        ))
    }

    /// Logs what fraction of its draws a returning zone accepts.
    pub(crate) fn report_return(&self, zone: u16) -> Action {
        let state = if self.diverted > 0.0 {
            "returning"
        } else {
            "near"
        };
        let part = 1.0 - self.diverted;
        Action::Log(format!(
            "zone {zone} is {state}: accepts {part:.3} of its draws"
        ))
    }
}

/// All zones.
#[derive(Default)]
pub(crate) struct Zones {
    pub by_zone: BTreeMap<u16, Zone>,
    /// When an upstream of any zone last responded.
    pub last_response: Millis,
}

impl Zones {
    /// Whether a zone is ejected.
    pub(crate) fn is_ejected(&self, zone: u16) -> bool {
        self.diverted(zone) >= 1.0
    }

    /// Fraction of a zone's draws that are diverted to other zones.
    pub(crate) fn diverted(&self, zone: u16) -> f64 {
        self.by_zone.get(&zone).map_or(0.0, |zone| zone.diverted)
    }

    /// Resets the overdue time of each zone to its number of broken upstreams.
    pub(crate) fn restart_overdue(&mut self) {
        for zone in self.by_zone.values_mut() {
            zone.overdue = zone.broken_upstreams;
        }
    }
}
