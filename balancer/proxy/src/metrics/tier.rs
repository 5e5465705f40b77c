//! Metrics of the tier as seen by this replica. `serde(rename)` keeps the field names of the file. Owns no state.
use serde::Serialize;

/// This replica's view of its tier, and its datagram counters.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct TierMetrics {
    /// Replicas that are up, this one included.
    #[serde(rename = "up")]
    pub replicas_up: u32,
    /// The position of this replica among them.
    #[serde(rename = "place")]
    pub position: u32,
    /// Whether this replica is in contact with a majority of them.
    pub joined: bool,
    /// The protocol version in use.
    pub version: u8,
    /// The epoch of the agreement on that version.
    pub epoch: u64,
    /// Number of changes of the version in use.
    #[serde(rename = "steps")]
    pub version_changes: u64,
    /// Number of times that a replica was suspected.
    pub suspected: u64,
    /// Number of times that a replica was considered removed.
    #[serde(rename = "gone")]
    pub removed: u64,
    /// The sums over the tier, if available.
    pub sums: Option<TierSums>,
    /// Number of upstreams and zones that other replicas have evidence against.
    pub evidence: u64,
    /// Age of the oldest evidence, if there is any.
    pub evidence_age_ms: Option<f64>,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams read.
    pub read: u64,
    /// Bytes read.
    pub read_bytes: u64,
    /// Datagrams dropped, by cause.
    pub dropped: DroppedDatagrams,
}

/// Sums over the tier. Rates are per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(crate) struct TierSums {
    /// Upper bound of the age of the summed values.
    pub age_ms: f64,
    /// Number of replicas whose values are included.
    #[serde(rename = "heard")]
    pub replicas: u32,
    /// Relative standard error of the sums.
    pub error: f64,
    /// Rate of requests.
    pub demand: f64,
    /// Capacity, as a rate of requests.
    #[serde(rename = "room")]
    pub capacity: f64,
    /// Rate of first attempts.
    #[serde(rename = "firsts")]
    pub first_attempts: f64,
    /// Rate of retries.
    pub retries: f64,
    /// Calls in flight of all tenants.
    #[serde(rename = "calls")]
    pub in_flight: f64,
    /// Client connections of all tenants.
    #[serde(rename = "callers")]
    pub client_connections: f64,
}

/// Dropped datagrams by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct DroppedDatagrams {
    /// Received from an address that is not a member of the tier.
    #[serde(rename = "unknown")]
    pub unknown_sender: u64,
    /// Longer than the maximum.
    #[serde(rename = "long")]
    pub too_long: u64,
    /// Possibly queued for too long because the program was stalled.
    #[serde(rename = "waited")]
    pub waited_too_long: u64,
    /// Malformed, or not of this protocol.
    #[serde(rename = "broken")]
    pub malformed: u64,
    /// From another deployment.
    #[serde(rename = "foreign")]
    pub foreign_deployment: u64,
    /// In an unsupported protocol version.
    #[serde(rename = "unspoken")]
    pub unsupported_version: u64,
    /// Outdated.
    pub old: u64,
    /// Not sent because the system did not accept them.
    pub unsent: u64,
}
