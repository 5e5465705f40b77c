//! Metrics of the tier's replicas as this one knows them. Field names in the file stand at the codec. Owns no state.
use serde::Serialize;

/// What this replica knows of its tier, and the datagrams that this took.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct TierMetrics {
    /// Replicas that are up, this one included.
    #[serde(rename = "up")]
    pub replicas_up: u32,
    /// This replica's position among them.
    #[serde(rename = "place")]
    pub position: u32,
    /// Whether this replica has contact with a majority of them.
    pub joined: bool,
    /// The protocol version in use.
    pub version: u8,
    /// The number of the agreement on that version.
    pub epoch: u64,
    /// Changes of the version in use.
    #[serde(rename = "steps")]
    pub version_changes: u64,
    /// Replicas newly suspected.
    pub suspected: u64,
    /// Replicas newly taken for removed.
    #[serde(rename = "gone")]
    pub removed: u64,
    /// The sums over the tier, where there are any.
    pub sums: Option<TierSums>,
    /// Upstreams and zones that other replicas have evidence against.
    pub evidence: u64,
    /// Age of the oldest evidence, where there is any.
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
    /// Upper bound of the age of every value in them.
    pub age_ms: f64,
    /// Replicas whose values are in them.
    #[serde(rename = "heard")]
    pub replicas: u32,
    /// Their relative standard error.
    pub error: f64,
    /// Rate of requests.
    pub demand: f64,
    /// Rate of requests that there is capacity for.
    #[serde(rename = "room")]
    pub capacity: f64,
    /// Rate of first attempts.
    #[serde(rename = "firsts")]
    pub first_attempts: f64,
    /// Rate of retries.
    pub retries: f64,
    /// Calls in flight, of all tenants.
    #[serde(rename = "calls")]
    pub in_flight: f64,
    /// Client connections, of all tenants.
    #[serde(rename = "callers")]
    pub client_connections: f64,
}

/// Datagrams that were ignored, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(crate) struct DroppedDatagrams {
    /// From an address of no member of the tier.
    #[serde(rename = "unknown")]
    pub unknown_sender: u64,
    /// Longer than the maximum.
    #[serde(rename = "long")]
    pub too_long: u64,
    /// They may have waited too long to be read: the program was stalled.
    #[serde(rename = "waited")]
    pub waited_too_long: u64,
    /// Malformed, or of another protocol.
    #[serde(rename = "broken")]
    pub malformed: u64,
    /// Of another deployment.
    #[serde(rename = "foreign")]
    pub foreign_deployment: u64,
    /// Of a version that is not supported.
    #[serde(rename = "unspoken")]
    pub unsupported_version: u64,
    /// Too old.
    pub old: u64,
    /// Not sent, as the system did not accept them.
    pub unsent: u64,
}
