//! A whole experiment, as its file states it.
use super::bounds::Bounds;
use super::build::Build;
use super::expect::Expect;
use super::fault::Fault;
use super::fleet::{Balancer, Discovery, Fleet, Net};
use super::load::{Class, Clients, Tenant};
use super::tier::Tier;
use super::units::Span;
use serde::Deserialize;

/// A whole experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// One line for `list` and the report.
    pub title: String,
    /// How long clients send.
    pub length: Span,
    /// Feeds every draw, unless the command line names another.
    #[serde(default = "one")]
    pub seed: u64,
    /// The part of its own sends that the lab may make later than [`Experiment::lateness_most`].
    #[serde(default = "hundredth")]
    pub late_share: f64,
    /// A run in which more than [`Experiment::late_share`] of the lab's own sends and timers are later than this
    /// does not count.
    #[serde(default = "lateness")]
    pub lateness_most: Span,
    /// Zones, and how many balancers clients reach.
    pub fleet: Fleet,
    /// What upstreams are behind each other, the one that clients reach first.
    #[serde(rename = "tier")]
    pub tiers: Vec<Tier>,
    /// Kinds of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Who sends them.
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// How clients behave.
    pub clients: Clients,
    /// Delays between machines.
    #[serde(default)]
    pub net: Net,
    /// How balancers discover upstreams.
    #[serde(default)]
    pub discovery: Discovery,
    /// What balancers are given and held to.
    #[serde(default)]
    pub balancer: Balancer,
    /// Options of the balancers, as their options file has them. `{state}` in a text stands for the balancer's own
    /// folder, which outlives it, and `{drill}` for the file in which the lab says what its disk does wrong.
    #[serde(default)]
    pub options: toml::Table,
    /// Other builds of the balancer, or the same with other options, that part of the fleet runs.
    #[serde(default, rename = "build")]
    pub builds: Vec<Build>,
    /// Metrics for rules that have none of their own.
    #[serde(default)]
    pub bounds: Bounds,
    /// What goes wrong, and when.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// What the metrics must hold.
    #[serde(default, rename = "expect")]
    pub expects: Vec<Expect>,
}

fn one() -> u64 {
    1
}

fn hundredth() -> f64 {
    0.01
}

fn lateness() -> Span {
    Span::ms(20.0, 20.0)
}

impl Experiment {
    /// Whether balancers are configured to have the faults of their disks from the lab.
    pub(super) fn drills(&self) -> bool {
        let fault_file = self.options.get("recovery").and_then(|r| r.get("drill"));
        fault_file
            .and_then(toml::Value::as_str)
            .is_some_and(|d| d.contains("{drill}"))
    }
}
