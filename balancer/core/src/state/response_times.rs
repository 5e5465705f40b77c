//! Response time statistics.
use crate::interface::Millis;
use std::collections::BTreeMap;

/// Response time of a machine type.
#[derive(Clone, Copy, Default)]
pub(crate) struct KindResponseTime {
    /// Mean relative to the class's objective; zero before the first response.
    pub relative: f64,
    /// Number of responses in the mean.
    pub samples: f64,
}

/// Response times over all upstreams and by machine type.
#[derive(Default)]
pub(crate) struct ResponseTimes {
    /// By machine type, as an instance with little traffic learns these long before each upstream's response time.
    pub kinds: BTreeMap<u8, KindResponseTime>,
    pub mean: Millis,
    /// Mean deviation from the mean.
    pub deviation: Millis,
}
