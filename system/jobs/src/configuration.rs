//! The validated cluster configuration: routes, services and limits.
//!
//! The `configuration_parser` module reads it from JSON. The distribution crate transfers it to agents and proxies.
use crate::{route::Route, route_table::RouteTable};
use minicbor::{Decode, Encode};
use std::collections::BTreeMap;

/// A service, whose workers run the jobs of its routes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Service {
    /// Unique service name, referenced by routes.
    #[n(0)]
    pub name: String,
    /// Path of the workers' health check.
    #[n(1)]
    pub health_path: String,
    /// Maximum number of connections per worker.
    #[n(2)]
    pub max_connections: u64,
    /// Whether workers reject tasks that exceed their remaining capacity.
    #[n(3)]
    pub rejects_excess_tasks: bool,
}

/// Limits on client requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Limits {
    /// Maximum body size, in bytes.
    #[n(0)]
    pub max_body_bytes: u64,
    /// Maximum size of the request line and headers, in bytes.
    #[n(1)]
    pub max_header_bytes: u64,
    /// Maximum idle time of a client connection, in milliseconds.
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

/// A validated configuration. Clones and derived versions share unchanged routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version number; zero only in the default value.
    pub version: u64,
    /// Routes; each refers to a defined service.
    pub routes: RouteTable,
    /// Services by name.
    pub services: BTreeMap<String, Service>,
    /// Limits on client requests.
    pub limits: Limits,
}

impl Configuration {
    /// Returns the route of a host with the longest prefix that matches the path.
    pub fn route(&self, hostname: &str, path: &str) -> Option<&Route> {
        self.routes.find(hostname, path)
    }
}
