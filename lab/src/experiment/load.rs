//! What is asked for: classes of requests, tenants, and how clients behave.
use super::units::{one_try, unit, unit_range, Range, Span};
use serde::Deserialize;

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// May run any number of times.
    Safe,
    /// Carries a key: upstreams of one group drop repeats within the window.
    Keyed,
    /// Must never run twice.
    Once,
}

/// Which upstreams drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    /// All of the tier.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A kind of request.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the requests, relative to the other classes.
    #[serde(default = "unit")]
    pub share: f64,
    /// Work at a core of speed 1, over all calls of one tier as [`Tier::work`](super::tier::Tier::work) divides it, in
    /// milliseconds.
    pub work: Range,
    /// Time spent waiting on others, for which no core is held.
    #[serde(default = "no_time")]
    pub waits: Span,
    /// The latency target: a response within this time earns the full value.
    #[serde(rename = "aim")]
    pub latency_target: Span,
    /// A client gives up after this time, over all its tries.
    pub deadline: Span,
    /// What a response in time earns.
    #[serde(default = "unit", rename = "worth")]
    pub value: f64,
    /// The part of it that a response between the latency target and the deadline earns.
    #[serde(default = "half", rename = "late_worth")]
    pub late_value: f64,
    /// What a repeat may do.
    #[serde(default = "safe")]
    pub effect: Effect,
    /// For keyed requests: who drops repeats.
    #[serde(default = "group")]
    pub group: Group,
    /// For keyed requests: for how long.
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

/// Somebody with a stated part of the service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its part of the quotas.
    pub share: f64,
    /// What it sends, as a part of its share of all traffic.
    #[serde(default = "unit_range")]
    pub usage: Range,
    /// Requests a second of its own, beside what the others send: nothing else is drawn from `clients.rate` for it.
    #[serde(default)]
    pub rate: Option<Range>,
    /// The same as a part of what the weakest tier can do when warm.
    #[serde(default)]
    pub load: Option<Range>,
    /// For a tenant with requests of its own: their classes, by default all.
    #[serde(default)]
    pub classes: Option<Vec<String>>,
    /// For such a tenant: when it sends, `["4s", "12s"]`; by default all the time.
    #[serde(default)]
    pub during: Option<Span>,
    /// It sends everything to one balancer at the front, and to the next after this time.
    #[serde(default)]
    pub hops: Option<Span>,
    /// It opens a connection for each request and leaves it open, so many at the most.
    #[serde(default)]
    pub connections: Option<usize>,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// First tries a second. Either this or `load`.
    #[serde(default)]
    pub rate: Option<Range>,
    /// First tries as a part of what the weakest tier can do when warm.
    #[serde(default)]
    pub load: Option<Range>,
    /// The quotas of all tenants together, as a part of what the weakest tier can do.
    #[serde(default = "quota")]
    pub quota: Range,
    /// Further tries of one request, at most.
    #[serde(default = "one_try")]
    pub retries: u32,
    /// Each try is given up after this part of the deadline.
    #[serde(default = "try_share")]
    pub try_share: Range,
    /// The pause before the first further try; it doubles with each.
    #[serde(default = "backoff")]
    pub backoff: Span,
    /// The part of clients that heed `Retry-After`.
    #[serde(default = "honour")]
    pub honour: f64,
    /// The part of first tries whose client leaves early.
    #[serde(default)]
    pub impatient: f64,
    /// The front notices after this time that a balancer has died.
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
