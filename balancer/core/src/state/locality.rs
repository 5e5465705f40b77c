//! Statistics of the local zone and of the other zones.
use crate::interface::Settings;

/// Statistics of the upstreams of the local zone, or of all other zones.
pub(crate) struct LocalityStats {
    /// Mean response time relative to the machine type's.
    pub slowness: f64,
    /// Mean load reported by upstreams.
    pub reported_load: f64,
}

impl Default for LocalityStats {
    fn default() -> Self {
        LocalityStats {
            slowness: 1.0,
            reported_load: 0.0,
        }
    }
}

/// Statistics of local and remote upstreams.
#[derive(Default)]
pub(crate) struct Locality {
    /// The local zone; `None` if cross-zone calls have no cost.
    pub local_zone: Option<u16>,
    pub local: LocalityStats,
    pub remote: LocalityStats,
}

impl Locality {
    /// Initial state, without measurements.
    pub(crate) fn new(settings: &Settings) -> Self {
        Locality {
            local_zone: (settings.cross_zone_price > 0.0).then_some(settings.zone),
            ..Locality::default()
        }
    }

    /// Whether a zone is the local one, and cross-zone calls have a cost.
    pub(crate) fn is_local(&self, zone: u16) -> bool {
        Some(zone) == self.local_zone
    }
}
