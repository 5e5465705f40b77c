//! Metrics for rules that depend on what an experiment does: a rule whose metric is not stated is not judged.
use super::units::Span;
use serde::Deserialize;

/// The metrics.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// A version that a live balancer has not announced may be sent for this long after that balancer began to speak.
    pub version_grace: Span,
    /// All balancers of a tier speak the highest version that all of them read once nothing has changed for this long.
    pub agree: Option<Span>,
    /// Further attempts into a tier, as a part of first attempts, over any five seconds.
    pub retries: Option<f64>,
    /// Attempts that all balancers together may make at a zone that does no good.
    pub trials: Vec<Trials>,
    /// What tenants within their share keep beside one that is not.
    pub in_share: Option<InShare>,
    /// What balancers report that they act on is at most this old.
    pub age: Option<Span>,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            version_grace: Span::ms(3000.0, 3000.0),
            agree: None,
            retries: None,
            trials: Vec::new(),
            in_share: None,
            age: None,
        }
    }
}

/// Attempts at upstreams of a zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trials {
    /// The zone.
    pub zone: String,
    /// Only at this tier.
    #[serde(default)]
    pub tier: Option<String>,
    /// When this holds: `["6s", "12s"]`.
    pub during: Span,
    /// In any second, at most.
    pub most: u64,
}

/// Worth of tenants.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InShare {
    /// Who stays within its share.
    pub tenants: Vec<String>,
    /// When nobody takes more than its share: `["2s", "8s"]`.
    pub before: Span,
    /// When somebody does.
    pub during: Span,
    /// Their worth then, as a part of that before.
    pub least: f64,
}
