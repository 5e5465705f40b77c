//! Configured routes, which map client requests to queues.
use minicbor::{Decode, Encode};

/// A route and the parameters of its queue.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// Unique route name.
    #[n(0)]
    pub name: String,
    /// Host of matching requests; compared case-insensitively.
    #[n(1)]
    pub hostname: String,
    /// Path prefix of matching requests.
    #[n(2)]
    pub path_prefix: String,
    /// Request timeout, in milliseconds.
    #[n(3)]
    pub timeout_ms: u64,
    /// Constant term of the latency target of a job, in milliseconds.
    #[n(4)]
    pub target_latency_ms: u64,
    /// Priority of the jobs; zero is the highest.
    #[n(5)]
    pub priority: u32,
    /// Name of the service that runs the jobs.
    #[n(6)]
    pub service: String,
    /// Number of failed runs of a task at which its job fails.
    #[n(7)]
    pub max_attempts: u32,
    /// Variable term of the latency target of a job, as a multiple of its work.
    #[n(8)]
    pub stretch: f64,
}

impl Route {
    /// Returns the queue name, which is independent of the route name.
    pub fn queue(&self) -> String {
        format!("{}{}", self.hostname, self.path_prefix)
    }
}
