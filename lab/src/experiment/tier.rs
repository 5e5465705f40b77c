//! Tiers of upstreams and their machines.
use super::units::{unit, unit_range, zero, Range, Span};
use serde::Deserialize;

/// One tier of upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// Number of upstreams, assigned to zones round-robin.
    pub upstreams: usize,
    /// Fraction of a class's work that each call to this tier performs.
    pub work: f64,
    /// Mean number of calls that a request in this tier makes to the next one; 0 for the last tier.
    #[serde(default = "zero")]
    pub calls: Range,
    /// Maximum size of a cell: a group of upstreams in one zone that share the idempotency keys they have seen.
    #[serde(default = "default_cell")]
    pub cell: usize,
    /// The kinds of machines in it.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// How a machine behaves when requests pile up.
    #[serde(default, rename = "choke")]
    pub overload: Option<OverloadModel>,
    /// Limits and costs of connections.
    #[serde(default)]
    pub connections: Connections,
    /// Load reports of the upstreams.
    #[serde(default)]
    pub report: Report,
    /// Work of one probe, in core-milliseconds; without it balancers may not probe.
    #[serde(default)]
    pub probe_work: Option<Range>,
}

fn default_cell() -> usize {
    4
}

/// A type of machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Weight of this kind among the machines of the tier.
    #[serde(default = "unit")]
    pub share: f64,
    /// Number of cores.
    #[serde(default = "two_cores")]
    pub cores: usize,
    /// Relative speed of each core.
    #[serde(default = "unit_range")]
    pub speed: Range,
    /// Concurrently processed requests per core.
    #[serde(default = "slots")]
    pub slots: Range,
    /// Queue length per core; requests beyond it are rejected.
    #[serde(default = "queue")]
    pub queue: Range,
    /// Fraction of full capacity at the start of slow start.
    #[serde(default = "slow_start_share", rename = "cold_from")]
    pub slow_start_from: Range,
    /// Maximum duration of slow start.
    #[serde(default = "slow_start_time", rename = "cold_for")]
    pub slow_start_time: Span,
    /// Fraction of requests that it answers with an error.
    #[serde(default = "zero")]
    pub errors: Range,
    /// Whether cancelling a request also stops work in progress, rather than only queued work.
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

/// Overload behavior: a machine with far more requests in flight than cores slows down, and stays slow until it has
/// been mostly idle for a while.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadModel {
    /// Requests in flight per core at which it counts as overloaded.
    pub at: f64,
    /// It slows down after being overloaded for this long.
    pub over: Span,
    /// Slowdown factor.
    pub slower: Range,
    /// It recovers after having fewer than `below` requests in flight per core for this long.
    pub rest: Span,
    /// Requests in flight per core below which it counts as mostly idle; see `rest`.
    pub below: f64,
    /// Maximum duration of the slowdown.
    pub most: Span,
}

/// Limits and costs of connections to an upstream.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Maximum number of open connections per core; more are refused.
    pub cap: Range,
    /// Round trips before the first request on a new connection is read.
    pub round_trips: Range,
    /// Work to accept a connection, in core-milliseconds.
    pub work: Range,
    /// Idle timeout after which the machine closes a connection.
    pub idle: Span,
    /// Fraction of a machine's capacity that is lost when its connection table is full.
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

/// Load reports that upstreams attach to every response.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Report {
    /// Sampling period.
    pub period: Span,
    /// Delay from sampling until the values are reported.
    pub delay: Span,
    /// Maximum relative error of each value.
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
