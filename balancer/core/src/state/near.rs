//! How the own zone compares with the others.
use crate::interface::Settings;

/// The own zone and the others.
#[derive(Default)]
pub(crate) struct Near {
    /// The own zone, where it matters.
    pub zone: Option<u16>,
    /// In it and elsewhere, what answers take of what their kind does, and what upstreams say they hold.
    pub took: [f64; 2],
    pub said: [f64; 2],
}

impl Near {
    /// Nothing is known yet.
    pub(crate) fn new(s: &Settings) -> Self {
        let zone = (s.cross_zone_price > 0.0).then_some(s.zone);
        Near {
            zone,
            took: [1.0; 2],
            said: [0.0; 2],
        }
    }
}
