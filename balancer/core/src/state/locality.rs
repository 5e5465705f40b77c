//! How the local zone compares with the others.
use crate::interface::Settings;

/// What is known of the upstreams of the local zone, or of all others.
pub(crate) struct LocalityStats {
    /// Response time as a multiple of the machine kind's.
    pub slowness: f64,
    /// Load that upstreams report.
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

/// The local zone and the others.
#[derive(Default)]
pub(crate) struct Locality {
    /// The local zone, where crossing zones has a price.
    pub local_zone: Option<u16>,
    pub local: LocalityStats,
    pub remote: LocalityStats,
}

impl Locality {
    /// Nothing was measured yet.
    pub(crate) fn new(settings: &Settings) -> Self {
        Locality {
            local_zone: (settings.cross_zone_price > 0.0).then_some(settings.zone),
            ..Locality::default()
        }
    }

    /// Whether a zone is the local one, and crossing zones has a price.
    pub(crate) fn is_local(&self, zone: u16) -> bool {
        Some(zone) == self.local_zone
    }
}
