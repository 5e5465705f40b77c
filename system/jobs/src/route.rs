//! A route of the configuration: a queue that clients hand jobs in at.
use minicbor::{Decode, Encode};

/// One route: a queue.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Route {
    /// Its name.
    #[n(0)]
    pub name: String,
    /// Host that clients name.
    #[n(1)]
    pub hostname: String,
    /// What a path begins with.
    #[n(2)]
    pub path_prefix: String,
    /// Longest time that a call may take, in milliseconds.
    #[n(3)]
    pub timeout_ms: u64,
    /// Part of the time in which a job is to be done, in milliseconds.
    #[n(4)]
    pub target_latency_ms: u64,
    /// Zero goes first.
    #[n(5)]
    pub priority: u32,
    /// The service that runs its jobs.
    #[n(6)]
    pub service: String,
    /// A task fails its job when this many of its runs have failed.
    #[n(7)]
    pub max_attempts: u32,
    /// Part of the time in which a job is to be done, as a multiple of its work.
    #[n(8)]
    pub stretch: f64,
}

impl Route {
    /// Names the queue: the same whatever the route is called.
    pub fn queue(&self) -> String {
        format!("{}{}", self.hostname, self.path_prefix)
    }
}
