//! Workers as the platform lists them.
use crate::Resources;
use minicbor::{Decode, Encode};

/// Whether a worker takes new tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub enum Availability {
    /// It takes new tasks.
    #[n(0)]
    #[default]
    Ready,
    /// It takes no new tasks and ends soon.
    #[n(1)]
    Draining,
}

/// One incarnation of a worker, as the platform lists it.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct WorkerEntry {
    /// Name of the incarnation; a worker that restarts has another.
    #[n(0)]
    pub incarnation: String,
    /// The service whose tasks it runs.
    #[n(1)]
    pub service: String,
    /// Endpoint, `IP:PORT`.
    #[n(2)]
    pub address: String,
    /// Its zone.
    #[n(3)]
    pub zone: String,
    /// Its total resources.
    #[n(4)]
    pub capacity: Resources,
    /// Labels such as its kind and its rack.
    #[n(5)]
    pub labels: Vec<String>,
    /// Whether it takes new tasks.
    #[n(6)]
    pub availability: Availability,
    /// While it is draining, the minimum time that it has left, in milliseconds.
    #[n(7)]
    pub remaining_ms: Option<u64>,
}
