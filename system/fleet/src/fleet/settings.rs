//! Settings of a fleet.
use crate::client::ServiceListing;

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of nodes that may fail at the same time.
    pub tolerance: usize,
    /// Number of workers.
    pub workers: usize,
    /// Percentage of the runs that fail.
    pub run_failure_percent: u64,
    /// Whether workers refuse runs that exceed their capacity; otherwise they start every run.
    pub enforces_capacity: bool,
    /// Minimum interval between outputs of a coordinator process, in milliseconds; emulates a busy process.
    pub output_interval_ms: u64,
    /// Number of operators that concurrently change the configuration, with overlapping version numbers.
    pub operators: usize,
    /// Interval between requests of an operator, in milliseconds.
    pub change_interval_ms: u64,
    /// Percentage of the responses to operators that are lost; the operator resends the change to a random coordinator.
    pub lost_responses_percent: u32,
    /// Size of the padding in a configuration, in bytes.
    pub configuration_bytes: usize,
    /// Number of unused routes in a configuration.
    pub configuration_routes: u64,
    /// Which versions of the configuration list the service of the jobs.
    pub service_listing: ServiceListing,
    /// Number of edges, each with an agent that follows the configuration.
    pub edges: usize,
    /// Bandwidth of an edge's link, in bytes per second.
    pub edge_bytes_per_second: u64,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            nodes: 3,
            tolerance: 1,
            workers: 6,
            run_failure_percent: 0,
            enforces_capacity: true,
            output_interval_ms: 0,
            operators: 1,
            change_interval_ms: 400,
            lost_responses_percent: 0,
            configuration_bytes: 0,
            configuration_routes: 0,
            service_listing: ServiceListing::Always,
            edges: 0,
            edge_bytes_per_second: 250_000,
            seed: 1,
        }
    }
}
