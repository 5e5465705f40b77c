//! What goes wrong, when, and whom it meets.
use super::units::{one_try, Range, Span};
use serde::Deserialize;

/// What kind of thing goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Balancers get SIGKILL and start again after `for`.
    Kill,
    /// The machines of balancers lose power: SIGKILL, and of what was not synced to their disks some is lost, some
    /// is kept and some is torn. They start again after `for`.
    PowerLoss,
    /// Balancers get SIGTERM, SIGKILL when their time is over, and start again after `for`.
    Terminate,
    /// Balancers get SIGTERM and start again after `for` as another build, one `pace` after the other.
    Upgrade,
    /// Balancers get SIGSTOP, and SIGCONT after `for`.
    Pause,
    /// Nothing passes from `on` to `to`, both ways unless `one_way`.
    Cut,
    /// Upstreams are `size` times slower.
    Slow,
    /// Upstreams answer a part of `size` with errors.
    Errors,
    /// Upstreams and the balancers beside them die: connections are reset, new ones refused. They return cold.
    Die,
    /// Upstreams and the balancers beside them fall silent, and return cold.
    Lose,
    /// Upstreams drain, end, and are replaced by cold ones after `for`.
    Replace,
    /// All open connections of upstreams are reset.
    Reset,
    /// Clients send `size` times as much.
    Burst,
    /// No client reaches the front; a part of `size` of what was due then comes at once when it is over, within
    /// `delay`.
    Outage,
    /// A part of `size` of all datagrams between balancers is lost.
    DatagramLoss,
    /// A part of `size` of all datagrams arrives twice.
    DatagramRepeat,
    /// Datagrams take up to `delay`, each its own time, so that they overtake each other.
    DatagramDelay,
    /// Each balancer's port for its peers gets `size` datagrams a second that nobody meant: noise, broken and forged
    /// ones.
    DatagramGarbage,
    /// The disks of balancers take nothing more.
    DiskFull,
    /// Every read, write and sync of the disks of balancers fails.
    DiskFailing,
    /// Every access to the disks of balancers takes `delay` longer.
    DiskSlow,
    /// Discovery sends nothing to balancers.
    #[serde(rename = "discovery-silent")]
    DiscoveryUnresponsive,
    /// Discovery answers with what is no list.
    DiscoveryGarbled,
    /// Discovery answers with the list as it was at the start.
    DiscoveryStale,
    /// Discovery moves: SIGHUP with a configuration that names another address.
    DiscoveryMove,
}

/// What happens to a state folder between two starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Damage {
    /// Everything in it is lost.
    Emptied,
    /// It is put back as it was half way from the start to the fault.
    Old,
    /// Each file ends in its middle.
    Truncated,
    /// One bit of each file is another.
    Flipped,
}

/// One thing that goes wrong.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// When.
    pub at: Span,
    /// For how long.
    #[serde(default, rename = "for")]
    pub lasts: Option<Span>,
    /// Whom it meets; without it all whom it can meet.
    #[serde(default)]
    pub on: Target,
    /// The other side of a cut.
    #[serde(default)]
    pub to: Option<Target>,
    /// A cut only from `on` to `to`.
    #[serde(default)]
    pub one_way: bool,
    /// How much; see [`FaultKind`].
    #[serde(default)]
    pub size: Option<Range>,
    /// For `datagram-delay`: the time in transit; for `disk-slow`: the time that an access takes longer; for `outage`:
    /// the time within which clients come back.
    #[serde(default)]
    pub delay: Option<Span>,
    /// It comes so often, each time at whom is drawn anew.
    #[serde(default = "one_try")]
    pub times: u32,
    /// The time from one to the next, if it comes several times.
    #[serde(default)]
    pub every: Option<Span>,
    /// For `upgrade`: the build that they start as; without it the program under test, with the experiment's options.
    #[serde(default)]
    pub build: Option<String>,
    /// For `upgrade`: the time from one balancer to the next.
    #[serde(default)]
    pub pace: Option<Span>,
    /// For `burst`: whose requests.
    #[serde(default)]
    pub of: Option<Part>,
    /// For `kill` and `terminate`: what happens to the balancer's state folder before it starts again.
    #[serde(default)]
    pub state: Option<Damage>,
}

/// The requests that all of what is stated fits.
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
    /// Balancers that clients reach.
    Front,
    /// Balancers beside upstreams.
    Inner,
    /// Both.
    Balancers,
    /// Upstreams.
    Upstreams,
    /// Discovery's agents.
    Discovery,
}

/// Those that all of what is stated fits.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Target {
    /// In this role.
    pub role: Option<Role>,
    /// In this zone.
    pub zone: Option<String>,
    /// In a zone of this region.
    pub region: Option<String>,
    /// In this tier, or in front of it.
    pub tier: Option<String>,
    /// With these names.
    pub names: Option<Vec<String>>,
    /// This part of them, drawn; at least one.
    pub share: Option<f64>,
}
