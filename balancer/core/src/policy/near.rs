//! Owns how the own zone compares with the others: decides how far calls keep to it.
use crate::state::Near;

/// Smoothing of what answers take near and far; the most of the calls that keep to the own zone, for news of
/// others; and the part of them that goes elsewhere for each unit that near ones take longer.
const NEAR_GAIN: f64 = 0.05;
const NEAR_MOST: f64 = 0.95;
const NEAR_FALL: f64 = 2.0;

impl Near {
    pub(crate) fn note_took(&mut self, zone: u16, took: f64) {
        let side = &mut self.took[usize::from(Some(zone) != self.zone)];
        *side += NEAR_GAIN * (took.min(4.0) - *side);
    }

    pub(crate) fn note_said(&mut self, zone: u16, held: f64) {
        let side = &mut self.said[usize::from(Some(zone) != self.zone)];
        *side += NEAR_GAIN * (held - *side);
    }

    /// The part of calls for which one of the two is drawn from the own zone, as far as that is no busier. It
    /// gives way by degrees, or all copies would leave a weak zone and come back together.
    pub(crate) fn lean(&self) -> f64 {
        let busier = (self.took[0] / self.took[1]).max((self.said[0] + 1.0) / (self.said[1] + 1.0));
        (NEAR_MOST - NEAR_FALL * (busier - 1.0)).clamp(0.0, NEAR_MOST)
    }
}
