//! The operator's configuration after validation: routes, services and limits.
//!
//! How it is read from JSON is in `configuration_parser`; how it travels is the business of the distribution crate.
use crate::{route::Route, route_table::RouteTable};
use minicbor::{Decode, Encode};
use std::collections::BTreeMap;

/// One service: the workers that run the jobs of its routes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Service {
    /// Name that routes refer to.
    #[n(0)]
    pub name: String,
    /// Path of the health check at its workers.
    #[n(1)]
    pub health_path: String,
    /// Maximum number of connections to one worker.
    #[n(2)]
    pub max_connections: u64,
    /// Whether its workers reject tasks that do not fit into their capacity.
    #[n(3)]
    pub guards: bool,
}

/// Limits on requests of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Limits {
    /// Maximum length of a body, in bytes.
    #[n(0)]
    pub max_body_bytes: u64,
    /// Maximum length of the request line and headers, in bytes.
    #[n(1)]
    pub max_header_bytes: u64,
    /// Maximum time without a request on an open connection, in milliseconds.
    #[n(2)]
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_body_bytes: 262_144,
            max_header_bytes: 16_384,
            idle_timeout_ms: 15_000,
        }
    }
}

/// A valid configuration. Clones, and versions derived from it, share the routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version number; zero only in the empty default.
    pub version: u64,
    /// Routes, each to a service that exists.
    pub routes: RouteTable,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on requests of clients.
    pub limits: Limits,
}

impl Configuration {
    /// The route with the longest matching prefix for a host and path.
    pub fn route(&self, hostname: &str, path: &str) -> Option<&Route> {
        self.routes.find(hostname, path)
    }
}
