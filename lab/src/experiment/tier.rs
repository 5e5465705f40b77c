//! A tier of upstreams and the machines in it.
use super::units::{none, unit, unit_range, Range, Span};
use serde::Deserialize;

/// One tier of upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// How many upstreams it has, dealt out over the zones in turn.
    pub upstreams: usize,
    /// The part of a class's work that each call to this tier does.
    pub work: f64,
    /// Calls that a request of this tier makes to the next one, in the mean; 0 for the last tier.
    #[serde(default = "none")]
    pub calls: Range,
    /// Upstreams of one zone that share the keys they have seen, at most so many to a group.
    #[serde(default = "four")]
    pub cell: usize,
    /// The kinds of machines in it.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// What happens to a machine whose requests pile up.
    #[serde(default, rename = "choke")]
    pub overload: Option<OverloadModel>,
    /// What connections cost.
    #[serde(default)]
    pub connections: Connections,
    /// The load reports of upstreams.
    #[serde(default)]
    pub report: Report,
    /// Whether balancers may probe, and the work that one probe costs, in milliseconds of a core.
    #[serde(default)]
    pub probe_work: Option<Range>,
}

fn four() -> usize {
    4
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its part of the tier, relative to the other kinds.
    #[serde(default = "unit")]
    pub share: f64,
    /// Cores.
    #[serde(default = "two_cores")]
    pub cores: usize,
    /// How fast each core is.
    #[serde(default = "unit_range")]
    pub speed: Range,
    /// Requests in work at once, for each core.
    #[serde(default = "slots")]
    pub slots: Range,
    /// Requests that wait for a slot, for each core; more are turned away.
    #[serde(default = "queue")]
    pub queue: Range,
    /// A machine that starts does this part of what it can do when warm.
    #[serde(default = "slow_start_share", rename = "cold_from")]
    pub slow_start_from: Range,
    /// And is warm after this time at the latest.
    #[serde(default = "slow_start_time", rename = "cold_for")]
    pub slow_start_time: Span,
    /// The part of requests that it answers with an error.
    #[serde(default = "none")]
    pub errors: Range,
    /// Whether a cancel stops work that runs, and not only what waits.
    #[serde(default)]
    pub cancel_stops: bool,
}

fn two_cores() -> usize {
    2
}

fn slots() -> Range {
    Range {
        least: 9.0,
        most: 22.0,
    }
}

fn queue() -> Range {
    Range {
        least: 1.0,
        most: 4.0,
    }
}

fn slow_start_share() -> Range {
    Range {
        least: 0.15,
        most: 0.3,
    }
}

fn slow_start_time() -> Span {
    Span::ms(10_000.0, 20_000.0)
}

/// A machine that has far more requests in flight than it has cores gets slow, and stays so until it has been mostly idle.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadModel {
    /// Requests in flight for each core from which it counts as overloaded.
    pub at: f64,
    /// It gets slow when overloaded for this long.
    pub over: Span,
    /// Times slower.
    pub slower: Range,
    /// It recovers once it has had fewer in flight than `below` for each core for this long.
    pub rest: Span,
    /// See `rest`.
    pub below: f64,
    /// And at the latest after this.
    pub most: Span,
}

/// What connections to an upstream cost.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// The most that a machine holds, for each core. More are refused.
    pub cap: Range,
    /// Round trips before the first request on one is read.
    pub round_trips: Range,
    /// Work that a new one costs, in milliseconds of a core.
    pub work: Range,
    /// The machine closes one that has been idle for this long.
    pub idle: Span,
    /// The part of its capacity that a full table takes from a machine.
    pub full_tax: Range,
}

impl Default for Connections {
    fn default() -> Self {
        Connections {
            cap: Range {
                least: 600.0,
                most: 900.0,
            },
            round_trips: Range {
                least: 1.0,
                most: 3.0,
            },
            work: Range {
                least: 1.0,
                most: 3.0,
            },
            idle: Span::ms(15_000.0, 15_000.0),
            full_tax: Range {
                least: 0.17,
                most: 0.37,
            },
        }
    }
}

/// The load reports of upstreams, in every answer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Report {
    /// How often the metrics are taken anew.
    pub period: Span,
    /// How long after that they show.
    pub delay: Span,
    /// By how much each may be off, as a part of it.
    pub noise: f64,
}

impl Default for Report {
    fn default() -> Self {
        Report {
            period: Span::ms(80.0, 400.0),
            delay: Span::ms(10.0, 85.0),
            noise: 0.1,
        }
    }
}
