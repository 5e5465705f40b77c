//! Limits for rules that depend on the experiment. A rule whose limit is not set is not checked.
use super::units::Span;
use serde::Deserialize;

/// Limits of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// How long after a balancer's first datagram others may still send a version that it has not announced.
    pub version_grace: Span,
    /// Once nothing has changed for this long, all balancers of a tier must send the highest version that all of them
    /// support.
    pub agree: Option<Span>,
    /// Maximum ratio of retries to first attempts into a tier, over any five seconds.
    pub retries: Option<f64>,
    /// Limits on the attempts that all balancers together may make at a failing zone.
    pub trials: Vec<Trials>,
    /// Value that tenants within their share must retain while another tenant exceeds its share.
    pub in_share: Option<InShare>,
    /// Maximum age of the shared data that balancers report acting on.
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

/// A limit on attempts at upstreams of a zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trials {
    /// The zone.
    pub zone: String,
    /// Restricts the limit to this tier.
    #[serde(default)]
    pub tier: Option<String>,
    /// When the limit applies: `["6s", "12s"]`.
    pub during: Span,
    /// Maximum number of attempts in any second.
    pub most: u64,
}

/// A limit on the value that tenants lose to another tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InShare {
    /// The tenants that stay within their share.
    pub tenants: Vec<String>,
    /// Interval in which no tenant exceeds its share: `["2s", "8s"]`.
    pub before: Span,
    /// Interval in which a tenant exceeds its share.
    pub during: Span,
    /// Minimum ratio of their value in `during` to that in `before`.
    pub least: f64,
}
