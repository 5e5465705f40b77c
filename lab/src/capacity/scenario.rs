//! What stands around the balancers in one trial, by what grows and how far it has grown.
use clap::ValueEnum;

/// What grows from size to size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Dimension {
    /// Upstreams on the list of a balancer that nobody calls.
    List,
    /// The same, with state kept on a disk.
    Store,
    /// Changes of the list a second.
    Changes,
    /// Requests a second.
    Requests,
    /// Calls in flight that are held open.
    #[value(name = "held")]
    InFlight,
    /// Tenants, with the same requests.
    Tenants,
    /// Clients' idle connections.
    Clients,
    /// Members of the tier, all but the measured one hollow.
    Peers,
    /// Whole balancers that hear one change each second.
    Fleet,
    /// Members of a tier that is all hollow.
    Hollow,
    /// Members lost at once of a hollow tier of the target's size.
    Loss,
}

/// What stands around the balancers.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Balancers, each a process.
    pub balancers: usize,
    /// Upstreams on the list. Only the first few have anybody who listens.
    pub upstreams: usize,
    /// Changes of the list a second.
    pub changes: f64,
    /// Requests a second, answered at once.
    pub requests: f64,
    /// Calls in flight, held open.
    pub calls_in_flight: usize,
    /// Tenants.
    pub tenants: usize,
    /// Clients' idle connections.
    pub clients: usize,
    /// Members of the tier, the measured balancer among them; none: peers are off.
    pub members: Option<usize>,
    /// Whether state is kept on a disk.
    pub persisted: bool,
}

/// The target's list, where something else grows.
const TARGET_LIST: usize = 550;
/// The target's tenants.
const TARGET_TENANTS: usize = 21;
/// Upstreams that answer, where there are requests.
const ANSWERING: usize = 8;
/// Requests a second where tenants grow.
const TENANTS_REQUESTS: f64 = 60.0;

impl Dimension {
    /// The scenario at a size; none where no whole balancer runs.
    pub fn scenario(self, size: usize) -> Option<Scenario> {
        let idle = Scenario {
            balancers: 1,
            upstreams: TARGET_LIST,
            changes: 0.0,
            requests: 0.0,
            calls_in_flight: 0,
            tenants: TARGET_TENANTS,
            clients: 0,
            members: None,
            persisted: false,
        };
        let answering = Scenario {
            upstreams: ANSWERING,
            ..idle.clone()
        };
        Some(match self {
            Dimension::List => Scenario {
                upstreams: size,
                ..idle
            },
            Dimension::Store => Scenario {
                upstreams: size,
                persisted: true,
                ..idle
            },
            Dimension::Changes => Scenario {
                changes: size as f64,
                ..idle
            },
            Dimension::Requests => Scenario {
                requests: size as f64,
                ..answering
            },
            Dimension::InFlight => Scenario {
                calls_in_flight: size,
                ..answering
            },
            Dimension::Tenants => Scenario {
                tenants: size,
                requests: TENANTS_REQUESTS,
                ..answering
            },
            Dimension::Clients => Scenario {
                clients: size,
                ..answering
            },
            Dimension::Peers => Scenario {
                members: Some(size),
                ..answering
            },
            Dimension::Fleet => Scenario {
                balancers: size,
                changes: 1.0,
                ..idle
            },
            Dimension::Hollow | Dimension::Loss => return None,
        })
    }

    /// Its name on the command line.
    pub fn name(self) -> String {
        self.to_possible_value()
            .map(|value| value.get_name().to_string())
            .unwrap_or_default()
    }
}
