//! The top-level table of an experiment file.
use super::bounds::Bounds;
use super::build::Build;
use super::expect::Expect;
use super::fault::Fault;
use super::fleet::{Balancer, Discovery, Fleet, Net};
use super::load::{Class, Clients, Tenant};
use super::tier::Tier;
use super::units::Span;
use serde::Deserialize;

/// A complete experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// One-line title for `list` and the report.
    pub title: String,
    /// How long clients send requests.
    pub length: Span,
    /// Seed of all random draws, unless the command line sets another.
    #[serde(default = "one")]
    pub seed: u64,
    /// Fraction of the lab's own sends and timers that may be later than [`Experiment::lateness_most`].
    #[serde(default = "hundredth")]
    pub late_share: f64,
    /// A run does not count if more than [`Experiment::late_share`] of the lab's own sends and timers are later than
    /// this.
    #[serde(default = "lateness")]
    pub lateness_most: Span,
    /// Zones and front balancers.
    pub fleet: Fleet,
    /// Tiers of upstreams in call order, the one closest to the clients first.
    #[serde(rename = "tier")]
    pub tiers: Vec<Tier>,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants that send requests.
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// Client behavior.
    pub clients: Clients,
    /// Network delays and datagram loss.
    #[serde(default)]
    pub net: Net,
    /// How balancers obtain the list of upstreams.
    #[serde(default)]
    pub discovery: Discovery,
    /// Settings and limits of the balancers.
    #[serde(default)]
    pub balancer: Balancer,
    /// Options of the balancers, in the format of their options file. In strings, `{state}` is replaced by the
    /// balancer's state folder, which persists across restarts, and `{drill}` by the file through which the lab injects
    /// disk faults.
    #[serde(default)]
    pub options: toml::Table,
    /// Other builds of the balancer, or other options, that part of the fleet runs.
    #[serde(default, rename = "build")]
    pub builds: Vec<Build>,
    /// Limits of rules that depend on the experiment.
    #[serde(default)]
    pub bounds: Bounds,
    /// Faults to inject.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    /// Expectations on the metrics of the run.
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
    /// Whether balancers are configured to accept disk faults from the lab.
    pub(super) fn injects_disk_faults(&self) -> bool {
        let fault_file = self.options.get("recovery").and_then(|r| r.get("drill"));
        fault_file
            .and_then(toml::Value::as_str)
            .is_some_and(|d| d.contains("{drill}"))
    }
}
