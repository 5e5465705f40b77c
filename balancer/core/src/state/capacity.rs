//! Learned capacity of the next tier.
use crate::interface::{Load, Millis};

/// Capacity of the next tier for this instance.
#[derive(Default)]
pub(crate) struct Capacity {
    /// Learned from the lateness of responses.
    pub load: Load,
    /// Equal share of the configured quotas, in calls per cycle.
    pub even_quota: f64,
    /// Configured quotas over all instances, in calls per cycle; zero where they do not apply.
    pub total_quota: f64,
    /// Listed ready upstreams as a fraction of the highest number so far.
    pub listed: f64,
    /// Usable upstreams as a fraction of the highest number so far.
    pub usable: f64,
    /// Number of responses since capacity was last adapted.
    pub responses: f64,
    /// Number of `responses` within their objective.
    pub on_time: f64,
    /// Total lateness of `responses`.
    pub lateness: f64,
    /// Response time up to which responses count as on time.
    pub zero_lateness_limit: Millis,
}
