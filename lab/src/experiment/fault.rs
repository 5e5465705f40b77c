//! Faults to inject: their kind, time and targets.
use super::units::{one, Range, Span};
use serde::Deserialize;

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Balancers receive SIGKILL and are restarted after `for`.
    Kill,
    /// The machines of balancers lose power: SIGKILL, and writes not yet synced to disk are partly lost, partly kept
    /// and partly torn. The balancers are restarted after `for`.
    PowerLoss,
    /// Balancers receive SIGTERM, then SIGKILL when their shutdown timeout expires, and are restarted after `for`.
    Terminate,
    /// Rolling upgrade: balancers receive SIGTERM and are restarted after `for` with another build, one every `pace`.
    Upgrade,
    /// Balancers receive SIGSTOP, and SIGCONT after `for`.
    Pause,
    /// Network partition between `on` and `to`, in both directions unless `one_way` is set.
    Cut,
    /// Upstreams are slower by a factor of `size`.
    Slow,
    /// Upstreams answer a fraction `size` of requests with errors.
    Errors,
    /// Upstreams and their co-located balancers crash: connections are reset, new ones refused. They return in slow
    /// start.
    Die,
    /// Upstreams and their co-located balancers stop responding, and return in slow start.
    Lose,
    /// Upstreams drain, shut down, and are replaced after `for` by new ones in slow start.
    Replace,
    /// Resets all open connections of upstreams.
    Reset,
    /// Clients send `size` times the usual rate.
    Burst,
    /// No client reaches the front balancers; a fraction `size` of the requests due meanwhile is sent within `delay`
    /// after the outage ends.
    Outage,
    /// A fraction `size` of all datagrams between balancers is lost.
    DatagramLoss,
    /// A fraction `size` of all datagrams is delivered twice.
    DatagramRepeat,
    /// Each datagram is delayed independently by up to `delay`, so that datagrams are reordered.
    DatagramDelay,
    /// Each balancer's peer port receives `size` invalid datagrams per second: random, corrupted and forged ones.
    DatagramGarbage,
    /// The disks of balancers are full.
    DiskFull,
    /// Every read, write and sync of the disks of balancers fails.
    DiskFailing,
    /// Adds `delay` to every access to the disks of balancers.
    DiskSlow,
    /// Discovery does not respond to balancers.
    #[serde(rename = "discovery-silent")]
    DiscoveryUnresponsive,
    /// Discovery answers with malformed data instead of a list.
    DiscoveryGarbled,
    /// Discovery answers with the list from the start of the run.
    DiscoveryStale,
    /// Discovery moves: balancers receive SIGHUP with a configuration that names its new address.
    DiscoveryMove,
}

/// Damage to a state folder between two starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Damage {
    /// All files are deleted.
    Emptied,
    /// Restored to its contents halfway between the start of the run and the fault.
    Old,
    /// Each file is cut to half its length.
    Truncated,
    /// One bit of each file is flipped.
    Flipped,
}

/// A fault.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When it starts.
    pub at: Span,
    /// How long it lasts.
    #[serde(default, rename = "for")]
    pub lasts: Option<Span>,
    /// Targets; by default everything that the kind applies to.
    #[serde(default)]
    pub on: Target,
    /// For `cut`: the other side of the partition.
    #[serde(default)]
    pub to: Option<Target>,
    /// For `cut`: blocks only the direction from `on` to `to`.
    #[serde(default)]
    pub one_way: bool,
    /// Magnitude; its meaning depends on the [`FaultKind`].
    #[serde(default)]
    pub size: Option<Range>,
    /// For `datagram-delay`: the time in transit; for `disk-slow`: the added latency of an access; for `outage`: the
    /// time within which clients return.
    #[serde(default)]
    pub delay: Option<Span>,
    /// Number of occurrences; targets are drawn anew for each.
    #[serde(default = "one")]
    pub times: u32,
    /// Time between occurrences, if there are several.
    #[serde(default)]
    pub every: Option<Span>,
    /// For `upgrade`: the build to start; by default the program under test with the experiment's options.
    #[serde(default)]
    pub build: Option<String>,
    /// For `upgrade`: time between two balancers.
    #[serde(default)]
    pub pace: Option<Span>,
    /// For `burst`: the requests that are multiplied.
    #[serde(default)]
    pub of: Option<Part>,
    /// For `kill` and `terminate`: damage to the balancer's state folder before it is restarted.
    #[serde(default)]
    pub state: Option<Damage>,
}

/// Selects requests that match all given criteria.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Part {
    /// Of this tenant.
    pub tenant: Option<String>,
    /// Of this class.
    pub class: Option<String>,
    /// Of clients in this zone.
    pub zone: Option<String>,
}

/// A role in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Clients.
    Clients,
    /// Balancers that clients connect to.
    Front,
    /// Balancers co-located with upstreams.
    Inner,
    /// All balancers.
    Balancers,
    /// Upstreams.
    Upstreams,
    /// Discovery agents.
    Discovery,
}

/// Selects targets that match all given criteria.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Target {
    /// With this role.
    pub role: Option<Role>,
    /// In this zone.
    pub zone: Option<String>,
    /// In this region.
    pub region: Option<String>,
    /// Upstreams of this tier and the balancers that call it.
    pub tier: Option<String>,
    /// With these names.
    pub names: Option<Vec<String>>,
    /// A randomly drawn fraction of the matches, at least one.
    pub share: Option<f64>,
}
