//! What one copy has learned of the next tier's capacity.
use crate::interface::{Load, Millis};

/// The next tier's capacity for this copy.
#[derive(Default)]
pub(crate) struct Capacity {
    /// Learned from how late answers are.
    pub load: Load,
    /// The stated quotas per cycle, of this copy and of all; as parts of the most seen, the upstreams listed
    /// as ready, and those that can be used.
    pub quota: f64,
    pub quotas: f64,
    pub listed: f64,
    pub usable: f64,
    /// Answers since the last judgement, those in time, and their summed lateness.
    pub answers: f64,
    pub in_time: f64,
    pub lateness: f64,
    /// Until when answers are timely.
    pub timely: Millis,
}
