//! The environment of the balancers in a trial, by dimension and size.
use clap::ValueEnum;

/// The dimension that grows from size to size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Dimension {
    /// Upstreams in the list of an idle balancer.
    List,
    /// Upstreams in the list of an idle balancer that persists its state to disk.
    Store,
    /// Changes of the list per second.
    Changes,
    /// Requests per second.
    Requests,
    /// Calls in flight.
    #[value(name = "held")]
    InFlight,
    /// Tenants, at a constant request rate.
    Tenants,
    /// Idle client connections.
    Clients,
    /// Members of the tier; all except the measured one are hollow.
    Peers,
    /// Complete balancers that receive one change of the list per second.
    Fleet,
    /// Members of a fully hollow tier.
    Hollow,
    /// Members lost simultaneously in a hollow tier of the target size.
    Loss,
}

/// The environment of the balancers.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Number of balancer processes.
    pub balancers: usize,
    /// Upstreams in the list, of which only the first few listen.
    pub upstreams: usize,
    /// Changes of the list per second.
    pub changes: f64,
    /// Requests per second, answered immediately.
    pub requests: f64,
    /// Calls in flight that are held open.
    pub calls_in_flight: usize,
    /// Number of tenants.
    pub tenants: usize,
    /// Idle client connections.
    pub clients: usize,
    /// Members of the tier, including the measured balancer; none if peers are disabled.
    pub members: Option<usize>,
    /// Whether state is persisted to disk.
    pub persisted: bool,
}

/// Length of the upstream list in the target deployment, used if another dimension grows.
const TARGET_LIST: usize = 550;
/// Number of tenants in the target deployment.
const TARGET_TENANTS: usize = 21;
/// Number of listening upstreams in scenarios with requests.
const LISTENING_UPSTREAMS: usize = 8;
/// Requests per second if the number of tenants grows.
const TENANTS_REQUEST_RATE: f64 = 60.0;

impl Dimension {
    /// Returns the scenario at a size; none for dimensions without complete balancers.
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
        let serving = Scenario {
            upstreams: LISTENING_UPSTREAMS,
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
                ..serving
            },
            Dimension::InFlight => Scenario {
                calls_in_flight: size,
                ..serving
            },
            Dimension::Tenants => Scenario {
                tenants: size,
                requests: TENANTS_REQUEST_RATE,
                ..serving
            },
            Dimension::Clients => Scenario {
                clients: size,
                ..serving
            },
            Dimension::Peers => Scenario {
                members: Some(size),
                ..serving
            },
            Dimension::Fleet => Scenario {
                balancers: size,
                changes: 1.0,
                ..idle
            },
            Dimension::Hollow | Dimension::Loss => return None,
        })
    }

    /// Returns its name on the command line.
    pub fn name(self) -> String {
        self.to_possible_value()
            .map(|value| value.get_name().to_string())
            .unwrap_or_default()
    }
}
