//! What one instance has learned of the next tier's capacity.
use crate::interface::{Load, Millis};

/// The next tier's capacity for this instance.
#[derive(Default)]
pub(crate) struct Capacity {
    /// Learned from how late responses are.
    pub load: Load,
    /// This instance's even part of the stated quotas, in calls per cycle.
    pub even_quota: f64,
    /// The stated quotas of all instances together, in calls per cycle; zero where they are not known to hold.
    pub total_quota: f64,
    /// Upstreams listed as ready, as a part of the most there were.
    pub listed: f64,
    /// Upstreams that can be used, as a part of the most there were.
    pub usable: f64,
    /// Responses since capacity was last adapted.
    pub responses: f64,
    /// Those of `responses` that were in time.
    pub in_time: f64,
    /// Summed lateness of `responses`.
    pub lateness: f64,
    /// Response time up to which responses are timely.
    pub timely: Millis,
}
