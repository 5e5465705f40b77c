//! How a fleet is set up.

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Core machines.
    pub nodes: usize,
    /// How many of them may be lost at once.
    pub tolerance: usize,
    /// Workers.
    pub workers: usize,
    /// Hundredths of the runs that fail.
    pub failing_percent: u64,
    /// Whether workers refuse what does not fit; else they start whatever they are told to.
    pub guards: bool,
    /// How long a core machine's process takes inputs in before it carries out any output, as a busy one does, in
    /// milliseconds.
    pub output_interval_ms: u64,
    /// Operators that change the configuration, all under the same numbers.
    pub operators: usize,
    /// Time between two requests of an operator, in milliseconds.
    pub change_interval_ms: u64,
    /// Hundredths of the responses to operators that are lost; the change is sent again, to any coordinator.
    pub lost_responses_percent: u32,
    /// About how many bytes a configuration has beyond what it needs.
    pub configuration_bytes: usize,
    /// Routes of a configuration beside the one that is used.
    pub configuration_routes: u64,
    /// Edges, each with an agent that follows the configuration.
    pub edges: usize,
    /// Rate of the link of an edge, in bytes per second.
    pub edge_bytes_per_second: u64,
    /// Seeds all random draws.
    pub seed: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        FleetSettings {
            nodes: 3,
            tolerance: 1,
            workers: 6,
            failing_percent: 0,
            guards: true,
            output_interval_ms: 0,
            operators: 1,
            change_interval_ms: 400,
            lost_responses_percent: 0,
            configuration_bytes: 0,
            configuration_routes: 0,
            edges: 0,
            edge_bytes_per_second: 250_000,
            seed: 1,
        }
    }
}
