//! Decides what fraction of calls prefers the local zone, by comparing it with the other zones.
use crate::state::{Locality, LocalityStats};

/// Smoothing factor of response times and reported loads, local and remote.
const LOCALITY_GAIN: f64 = 0.05;
/// Maximum fraction of calls that prefer the local zone; the rest measure the other zones.
const MAX_LOCAL_FRACTION: f64 = 0.95;
/// Decrease of that fraction per unit by which local calls are slower or local load is higher.
const LOCAL_DECREASE: f64 = 2.0;
/// Maximum weight of a single response, as a multiple of its machine type's response time.
const MAX_SLOWNESS: f64 = 4.0;

impl Locality {
    fn stats_mut(&mut self, zone: u16) -> &mut LocalityStats {
        if self.is_local(zone) {
            &mut self.local
        } else {
            &mut self.remote
        }
    }

    /// Records the response time of a call to a zone, as a multiple of its machine type's.
    pub(crate) fn record_slowness(&mut self, zone: u16, slowness: f64) {
        let mean = &mut self.stats_mut(zone).slowness;
        *mean += LOCALITY_GAIN * (slowness.min(MAX_SLOWNESS) - *mean);
    }

    /// Records the load reported by an upstream of a zone.
    pub(crate) fn record_reported_load(&mut self, zone: u16, load: f64) {
        let mean = &mut self.stats_mut(zone).reported_load;
        *mean += LOCALITY_GAIN * (load - *mean);
    }

    /// Fraction of calls that prefer the local zone. It decreases gradually as the local zone gets slower or busier, as all
    /// instances would otherwise leave a weak zone and return to it in lockstep.
    pub(crate) fn local_fraction(&self) -> f64 {
        let slowness = self.local.slowness / self.remote.slowness;
        let load = (self.local.reported_load + 1.0) / (self.remote.reported_load + 1.0);
        (MAX_LOCAL_FRACTION - LOCAL_DECREASE * (slowness.max(load) - 1.0))
            .clamp(0.0, MAX_LOCAL_FRACTION)
    }
}
