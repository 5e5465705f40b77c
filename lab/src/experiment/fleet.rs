//! The fleet: zones, front balancers, balancer limits, network delays and discovery.
use super::units::Span;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Zones and front balancers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The zones of each region, by region name. A zone in no region counts as in the same region as every other zone.
    #[serde(default)]
    pub regions: BTreeMap<String, Vec<String>>,
    /// Number of balancers that clients connect to, assigned to zones round-robin.
    pub front: usize,
    /// Maximum relative deviation of a zone's share of clients from an even share: 0.2 gives 0.8 to 1.2 times the even
    /// share.
    #[serde(default)]
    pub skew: f64,
}

impl Fleet {
    /// Returns the region of a zone, if it is in one.
    pub fn region(&self, zone: usize) -> Option<&str> {
        let name = self.zones.get(zone)?;
        self.regions
            .iter()
            .find(|(_, zones)| zones.contains(name))
            .map(|(region, _)| region.as_str())
    }
}

/// Settings and limits of each balancer.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Balancer {
    /// Memory limit, in MB.
    pub memory_mb: u64,
    /// Limit of open file descriptors.
    pub sockets: usize,
    /// Maximum number of attempts per request.
    pub attempts: u32,
    /// Whether balancers may exchange datagrams.
    pub peers: bool,
    /// Connect timeout in the balancer's settings.
    pub dial_timeout: Span,
    /// Grace period after a balancer is notified that an upstream is draining or removed; no new request may be sent to
    /// the upstream after it.
    pub drain_grace: Span,
    /// An upstream in slow start collapses when it receives this multiple of its current capacity over `fall`.
    pub tip_multiple: f64,
    /// Window over which `tip_multiple` is measured.
    pub fall: Span,
    /// A balancer that is not ready within this time has failed to start.
    pub ready_within: Span,
}

impl Default for Balancer {
    fn default() -> Self {
        Balancer {
            memory_mb: 192,
            sockets: 1024,
            attempts: 3,
            peers: true,
            dial_timeout: Span::ms(100.0, 100.0),
            drain_grace: Span::ms(500.0, 500.0),
            tip_multiple: 2.5,
            fall: Span::ms(3000.0, 3000.0),
            ready_within: Span::ms(30_000.0, 30_000.0),
        }
    }
}

/// One-way network delays between machines, and datagram loss.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// Within a zone.
    pub same_zone: Span,
    /// Between zones of the same region.
    pub cross_zone: Span,
    /// Between zones of different regions.
    pub cross_region: Span,
    /// For datagrams between balancers.
    pub datagrams: Span,
    /// Fraction of datagrams that is lost.
    pub datagram_loss: f64,
    /// Fraction of datagrams that is delivered twice.
    pub datagram_repeat: f64,
}

impl Default for Net {
    fn default() -> Self {
        Net {
            same_zone: Span::ms(0.1, 0.4),
            cross_zone: Span::ms(5.0, 10.0),
            cross_region: Span::ms(20.0, 40.0),
            datagrams: Span::ms(1.0, 18.0),
            datagram_loss: 0.005,
            datagram_repeat: 0.001,
        }
    }
}

/// How balancers obtain the list of upstreams.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Whether discovery pushes changes; otherwise balancers poll.
    pub pushed: bool,
    /// Whether a starting balancer receives the list that it last had.
    pub known: bool,
    /// Delay until a new upstream is listed.
    pub add: Span,
    /// Delay until an upstream that drains or has died is listed as such.
    pub notice: Span,
    /// Delay until an unresponsive upstream is removed from the list.
    #[serde(rename = "silent_notice")]
    pub unresponsive_notice: Span,
    /// Additional delay until each balancer is notified of a change.
    pub spread: Span,
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            pushed: true,
            known: true,
            add: Span::ms(300.0, 1700.0),
            notice: Span::ms(560.0, 3300.0),
            unresponsive_notice: Span::ms(4500.0, 14_000.0),
            spread: Span::ms(20.0, 400.0),
        }
    }
}
