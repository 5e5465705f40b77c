//! What is counted of the tier's other copies. Owns no state.
use serde::Serialize;

/// What this copy knows of its tier, and the datagrams that this took.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Peers {
    /// Copies that are up, this one included, and its place among them.
    pub up: u32,
    /// See there.
    pub place: u32,
    /// Whether most of them are heard.
    pub joined: bool,
    /// The version spoken, and the number of the agreement on it.
    pub version: u8,
    /// See there.
    pub epoch: u64,
    /// Changes of the version spoken, and copies newly suspected and taken for gone.
    pub steps: u64,
    /// See there.
    pub suspected: u64,
    /// See there.
    pub gone: u64,
    /// The sums over the tier, where there are any.
    pub sums: Option<Sums>,
    /// Upstreams and zones that others have evidence against, and of the oldest of these its age, where there are any.
    pub evidence: u64,
    /// See there.
    pub evidence_age_ms: Option<f64>,
    /// Datagrams sent and read, and their bytes.
    pub sent: u64,
    /// See there.
    pub sent_bytes: u64,
    /// See there.
    pub read: u64,
    /// See there.
    pub read_bytes: u64,
    /// Datagrams that were dropped, by why.
    pub dropped: Dropped,
}

/// Sums over the tier. Rates are per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct Sums {
    /// The oldest figure in them is at most this old.
    pub age_ms: f64,
    /// Copies whose figures are in them.
    pub heard: u32,
    /// Their relative standard error.
    pub error: f64,
    /// Requests asked for.
    pub demand: f64,
    /// Requests there is room for.
    pub room: f64,
    /// First attempts, and further ones.
    pub firsts: f64,
    /// See there.
    pub retries: f64,
    /// Calls in flight, and callers' connections, of all tenants.
    pub calls: f64,
    /// See there.
    pub callers: f64,
}

/// Datagrams that counted for nothing, by why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Dropped {
    /// From an address that is none of the tier's.
    pub unknown: u64,
    /// Longer than any may be.
    pub long: u64,
    /// They may have waited too long to be read: the program was stopped or held up.
    pub waited: u64,
    /// Not ours, or broken.
    pub broken: u64,
    /// Of another deployment.
    pub foreign: u64,
    /// Of a version that is not spoken.
    pub unspoken: u64,
    /// Too old.
    pub old: u64,
    /// The system did not take them to be sent.
    pub unsent: u64,
}
