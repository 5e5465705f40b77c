//! The fleet: zones, the front, what balancers are given, delays between machines, and discovery.
use super::units::Span;
use serde::Deserialize;
use std::collections::BTreeMap;

/// Zones and the front.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Regions: their names and the zones in each. A zone that is in none is near to all.
    #[serde(default)]
    pub regions: BTreeMap<String, Vec<String>>,
    /// Balancers that clients reach, dealt out over the zones in turn.
    pub front: usize,
    /// How far the zones' shares of the clients may lie from even: 0.2 gives 0.8 to 1.2 times the even share.
    #[serde(default)]
    pub skew: f64,
}

impl Fleet {
    /// The region of a zone, if it is in one.
    pub fn region(&self, zone: usize) -> Option<&str> {
        let name = self.zones.get(zone)?;
        self.regions
            .iter()
            .find(|(_, zones)| zones.contains(name))
            .map(|(region, _)| region.as_str())
    }
}

/// What each balancer is given and held to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Balancer {
    /// Memory that it may hold.
    pub memory_mb: u64,
    /// File descriptors that it may hold.
    pub sockets: usize,
    /// Attempts for one request, at most.
    pub attempts: u32,
    /// Whether balancers may send each other datagrams.
    pub peers: bool,
    /// The connect time-out that the settings name.
    pub dial_timeout: Span,
    /// Nothing new goes to an upstream this long after its balancer was notified that it drains or is gone.
    pub drain_grace: Span,
    /// A cold upstream falls over when sent this many times what it can do ...
    pub tip_multiple: f64,
    /// ... for this long.
    pub fall: Span,
    /// One that is not ready after this time has failed to start.
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

/// One-way delays between machines.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// Within a zone.
    pub same_zone: Span,
    /// Between zones of a region.
    pub cross_zone: Span,
    /// Between zones of different regions.
    pub cross_region: Span,
    /// Between balancers, for datagrams.
    pub datagrams: Span,
    /// The part of them that is lost.
    pub datagram_loss: f64,
    /// The part of them that arrives twice.
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

/// How the list of upstreams reaches balancers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Whether changes come by themselves or must be asked for.
    pub pushed: bool,
    /// Whether a balancer that starts is given the list as it last had it.
    pub known: bool,
    /// A new upstream is listed after this time.
    pub add: Span,
    /// One that drains or died is listed as such after this time.
    pub notice: Span,
    /// One that became unresponsive is dropped after this time.
    #[serde(rename = "silent_notice")]
    pub unresponsive_notice: Span,
    /// Each balancer is notified of a change this much later.
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
