//! Offered load: classes of requests, tenants and client behavior.
use super::units::{one, unit, unit_range, Range, Span};
use serde::Deserialize;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// May be executed any number of times.
    Safe,
    /// Carries an idempotency key: upstreams of one group discard duplicates within the window.
    Keyed,
    /// Must not be executed more than once.
    Once,
}

/// Which upstreams deduplicate a keyed request among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    /// All upstreams of the tier.
    All,
    /// The upstreams of a zone.
    Zone,
    /// The upstreams of a cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Weight of this class among all requests.
    #[serde(default = "unit")]
    pub share: f64,
    /// Work of a request in milliseconds on a core of speed 1; each call to a tier performs the fraction
    /// [`Tier::work`](super::tier::Tier::work) of it.
    pub work: Range,
    /// Time spent waiting without occupying a core.
    #[serde(default = "no_time")]
    pub waits: Span,
    /// Latency target: a response within this time earns the full value.
    #[serde(rename = "aim")]
    pub latency_target: Span,
    /// Time after which a client gives up, over all its attempts.
    pub deadline: Span,
    /// Value of a response within the latency target.
    #[serde(default = "unit", rename = "worth")]
    pub value: f64,
    /// Fraction of the value for a response between the latency target and the deadline.
    #[serde(default = "half", rename = "late_worth")]
    pub late_value: f64,
    /// Whether a request may be executed more than once.
    #[serde(default = "safe")]
    pub effect: Effect,
    /// For keyed requests: the upstreams that deduplicate among themselves.
    #[serde(default = "group")]
    pub group: Group,
    /// For keyed requests: how long keys are remembered.
    #[serde(default = "window")]
    pub window: Span,
}

fn no_time() -> Span {
    Span::ms(0.0, 0.0)
}

fn half() -> f64 {
    0.5
}

fn safe() -> Effect {
    Effect::Safe
}

fn group() -> Group {
    Group::Cell
}

fn window() -> Span {
    Span::ms(5000.0, 5000.0)
}

/// A tenant with a share of the service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Weight of its quota among all tenants.
    pub share: f64,
    /// Traffic that it sends, relative to its share.
    #[serde(default = "unit_range")]
    pub usage: Range,
    /// Its own request rate per second, in addition to the traffic of other tenants; it then gets no part of
    /// `clients.rate`.
    #[serde(default)]
    pub rate: Option<Range>,
    /// Its own request rate as a fraction of the capacity of the weakest tier after slow start.
    #[serde(default)]
    pub load: Option<Range>,
    /// For a tenant with its own rate: the classes that it sends; all by default.
    #[serde(default)]
    pub classes: Option<Vec<String>>,
    /// For a tenant with its own rate: when it sends, `["4s", "12s"]`; always by default.
    #[serde(default)]
    pub during: Option<Span>,
    /// Sends all requests to a single front balancer and switches to the next one after this time.
    #[serde(default)]
    pub hops: Option<Span>,
    /// Opens a connection per request and leaves it open, up to this many.
    #[serde(default)]
    pub connections: Option<usize>,
}

/// Client behavior.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// First attempts per second. Exactly one of this and `load` is set.
    #[serde(default)]
    pub rate: Option<Range>,
    /// Rate of first attempts as a fraction of the capacity of the weakest tier after slow start.
    #[serde(default)]
    pub load: Option<Range>,
    /// Sum of all tenants' quotas as a fraction of the capacity of the weakest tier.
    #[serde(default = "quota")]
    pub quota: Range,
    /// Maximum number of client retries per request.
    #[serde(default = "one")]
    pub retries: u32,
    /// Timeout of each attempt as a fraction of the deadline.
    #[serde(default = "try_share")]
    pub try_share: Range,
    /// Backoff before the first retry; it doubles with each further one.
    #[serde(default = "backoff")]
    pub backoff: Span,
    /// Fraction of clients that honour `Retry-After`.
    #[serde(default = "honour")]
    pub honour: f64,
    /// Fraction of first attempts that the client abandons early.
    #[serde(default)]
    pub impatient: f64,
    /// Time until clients are no longer routed to a front balancer that has died.
    #[serde(default = "notice")]
    pub front_notice: Span,
}

fn quota() -> Range {
    Range {
        least: 0.7,
        most: 0.94,
    }
}

fn try_share() -> Range {
    Range {
        least: 0.7,
        most: 1.0,
    }
}

fn backoff() -> Span {
    Span::ms(20.0, 160.0)
}

fn honour() -> f64 {
    0.9
}

fn notice() -> Span {
    Span::ms(1200.0, 4000.0)
}
