//! A route of the configuration: the queue to which requests of clients belong.
use minicbor::{Decode, Encode};

/// One route, and the terms of its queue.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// Name, unique among the routes.
    #[n(0)]
    pub name: String,
    /// Host of the requests, in any case.
    #[n(1)]
    pub hostname: String,
    /// Prefix of the requests' paths.
    #[n(2)]
    pub path_prefix: String,
    /// Timeout of a request, in milliseconds.
    #[n(3)]
    pub timeout_ms: u64,
    /// The constant term of a job's latency target, in milliseconds.
    #[n(4)]
    pub target_latency_ms: u64,
    /// Priority of its jobs; zero is the highest.
    #[n(5)]
    pub priority: u32,
    /// Name of the service that runs its jobs.
    #[n(6)]
    pub service: String,
    /// How many runs of a task may fail before its job fails.
    #[n(7)]
    pub max_attempts: u32,
    /// The other term of a job's latency target, as a multiple of its work.
    #[n(8)]
    pub stretch: f64,
}

impl Route {
    /// Name of the queue; it does not depend on the route's name.
    pub fn queue(&self) -> String {
        format!("{}{}", self.hostname, self.path_prefix)
    }
}
