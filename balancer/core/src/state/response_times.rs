//! How long responses take.
use crate::interface::Millis;
use std::collections::BTreeMap;

/// The response time of a machine kind.
#[derive(Clone, Copy, Default)]
pub(crate) struct KindResponseTime {
    /// Mean, as a part of the class's objective; zero before the first response.
    pub relative: f64,
    /// Responses that the mean rests on.
    pub samples: f64,
}

/// Response times, of all upstreams together and of each machine kind.
#[derive(Default)]
pub(crate) struct ResponseTimes {
    /// An instance that sees little traffic learns of a kind long before it has learned of each upstream.
    pub kinds: BTreeMap<u8, KindResponseTime>,
    pub mean: Millis,
    /// Mean deviation from the mean.
    pub deviation: Millis,
}
