//! Decides how far calls prefer the local zone, from how it compares with the others.
use crate::state::{Locality, LocalityStats};

/// Smoothing of what upstreams of either side take and report.
const LOCALITY_GAIN: f64 = 0.05;
/// The most calls that prefer the local zone: the others tell of other zones.
const MAX_LOCAL: f64 = 0.95;
/// The part of calls that stop preferring it for each unit that local ones take longer.
const LOCAL_FALL: f64 = 2.0;
/// The most that a single response counts for, as a multiple of its kind's.
const MAX_SLOWNESS: f64 = 4.0;

impl Locality {
    fn side(&mut self, zone: u16) -> &mut LocalityStats {
        if self.is_local(zone) {
            &mut self.local
        } else {
            &mut self.remote
        }
    }

    /// Records the response time of a call into a zone, as a multiple of its kind's.
    pub(crate) fn record_slowness(&mut self, zone: u16, slowness: f64) {
        let mean = &mut self.side(zone).slowness;
        *mean += LOCALITY_GAIN * (slowness.min(MAX_SLOWNESS) - *mean);
    }

    /// Records the load that an upstream of a zone reports.
    pub(crate) fn record_reported_load(&mut self, zone: u16, load: f64) {
        let mean = &mut self.side(zone).reported_load;
        *mean += LOCALITY_GAIN * (load - *mean);
    }

    /// The part of calls for which one of the two is drawn from the local zone, as far as that is no busier. It
    /// gives way by degrees, or all instances would leave a weak zone and return together.
    pub(crate) fn local_part(&self) -> f64 {
        let slowness = self.local.slowness / self.remote.slowness;
        let load = (self.local.reported_load + 1.0) / (self.remote.reported_load + 1.0);
        (MAX_LOCAL - LOCAL_FALL * (slowness.max(load) - 1.0)).clamp(0.0, MAX_LOCAL)
    }
}
