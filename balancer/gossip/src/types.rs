//! Inputs and outputs of [`Peers`](crate::Peers): plain values, independent of requests and sockets.
//!
//! All times are in milliseconds on this replica's monotonic clock. Clocks of different replicas are never compared.

/// Milliseconds: a time on this replica's monotonic clock, or a duration.
pub type Millis = f64;

/// The maximum length of a datagram, in bytes.
pub const MAX_DATAGRAM_LEN: usize = 256;

/// The length of the header, in bytes. Datagrams of every version begin with this header, with all numbers big-endian,
/// and end with the CRC-32 (IEEE) of all preceding bytes, so that replicas of any two versions can read which versions
/// the other supports:
///
/// | offset | bytes | content |
/// | --- | --- | --- |
/// | 0 | 2 | [`MAGIC`] |
/// | 2 | 1 | the version of the payload |
/// | 3 | 1 | the lowest version that the sender supports |
/// | 4 | 1 | the highest |
/// | 5 | 2 | the sender's position in the list of candidates |
/// | 7 | 8 | its incarnation |
/// | 15 | 4 | [`Config::deployment`] |
/// | 19 | 8 | the epoch of the latest version agreement known to the sender ([`TierState::epoch`]) |
pub const HEADER_LEN: usize = 27;
/// The first two bytes of every datagram.
pub const MAGIC: [u8; 2] = *b"oP";

/// A candidate for membership: a position in the list of the tier's addresses, which is the same at every replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member(pub u16);

/// The inclusive range of protocol versions that a replica supports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct VersionRange {
    /// The lowest.
    pub min: u8,
    /// The highest.
    pub max: u8,
}

impl VersionRange {
    pub(crate) fn contains(self, version: u8) -> bool {
        self.min <= version && version <= self.max
    }

    pub(crate) fn overlaps(self, other: VersionRange) -> bool {
        self.min <= other.max && other.min <= self.max
    }
}

/// The versions that this program supports: 1 has membership and verdicts, 2 adds sums over the tier.
pub const SUPPORTED_VERSIONS: VersionRange = VersionRange { min: 1, max: 2 };

/// The configuration of a replica at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// This replica's position in the list.
    pub own: Member,
    /// The length of the list; at most [`u16::MAX`].
    pub candidates: u16,
    /// A number that grows with each start of this replica, as far as it can determine that.
    pub incarnation: u64,
    /// The seed of random choices.
    pub seed: u64,
    /// The zone of this replica.
    pub zone: u16,
    /// The number of tenants, which is equal at all replicas with the same [`Config::deployment`].
    pub tenants: u16,
    /// A hash of the settings that must be equal at two replicas for positions and sums to have the same meaning.
    pub deployment: u32,
    /// The versions it may use: [`SUPPORTED_VERSIONS`], or a part of them where the operator pins the version.
    pub supported_versions: VersionRange,
}

/// The reason why a [`Config`] was rejected, as one line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ConfigError(pub &'static str);

/// The load of one tenant; additive over the replicas of a tier.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantLoad {
    /// Offered requests per second.
    pub demand: f64,
    /// Calls to upstreams in flight, averaged over a second, so that slow calls weigh by their duration.
    pub calls: f64,
    /// Open client connections.
    pub client_connections: f64,
}

/// The load of a replica, or of a tier.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Offered requests per second.
    pub demand: f64,
    /// The replica's estimate of the next tier's capacity, in requests per second.
    pub capacity: f64,
    /// First attempts per second.
    pub first_attempts: f64,
    /// Retries per second.
    pub retries: f64,
    /// The load of each tenant, by its position in the settings; the last entry is for all tenants not in the settings.
    pub tenants: Vec<TenantLoad>,
}

/// The subject of a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// An upstream, identified by a hash of its name that is the same at all replicas.
    Upstream(u64),
    /// A zone, by its position in the settings.
    Zone(u16),
}

/// This replica's own current observations, which replace its previous ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// Its load.
    pub load: Load,
    /// Subjects that it has evidence against, the most severe first.
    pub against: Vec<Subject>,
    /// Subjects that it had evidence against and that have responded since, the latest first: others may use them
    /// again.
    pub cleared: Vec<Subject>,
}

/// Sums over the live members.
#[derive(Clone, Debug, PartialEq)]
pub struct Sums {
    /// The sums, this replica's own load included.
    pub load: Load,
    /// The upper bound of the age of the oldest load included.
    pub age: Millis,
    /// Members that are up and whose loads are included; the sums are extrapolated from these to all members that are
    /// up.
    pub heard: u32,
    /// The relative standard error of the sum of demands due to extrapolation; zero if all loads are known.
    pub error: f64,
}

/// Evidence of other replicas on an upstream or a zone, without this replica's own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// The subject.
    pub subject: Subject,
    /// Distinct replicas that currently have evidence against it.
    pub observers: u32,
    /// Distinct zones of these replicas.
    pub zones: u32,
    /// Distinct replicas that have had a response from it since.
    pub cleared: u32,
    /// The upper bound of the age of the latest evidence.
    pub age: Millis,
}

/// The state of the tier as received by this replica, without entries older than their bound.
#[derive(Clone, Debug, PartialEq)]
pub struct TierState {
    /// The number of members that are up, including this replica.
    pub up: u32,
    /// This replica's index among them, in the order of the list of candidates.
    pub position: u32,
    /// The protocol version that all live members use.
    pub version: u8,
    /// The epoch of the agreement on that version, which only grows.
    pub epoch: u64,
    /// Whether more than half of the members that were up are known to be alive; otherwise this replica is isolated.
    pub is_joined: bool,
    /// Sums over the tier; absent if too few recent loads were received or the version has no sums.
    pub sums: Option<Sums>,
    /// Evidence of other replicas.
    pub evidence: Vec<Evidence>,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// The receiver.
    pub to: Member,
    /// The encoded datagram, at most [`MAX_DATAGRAM_LEN`] bytes.
    pub bytes: Vec<u8>,
}

/// A notification for the operator, issued once for each change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notification(pub String);

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Datagrams dropped because they were malformed.
    pub malformed: u64,
    /// Datagrams dropped because they belong to another deployment.
    pub foreign_deployment: u64,
    /// Datagrams dropped because their version is not supported or not agreed on.
    pub unsupported_version: u64,
    /// Datagrams dropped because they were too long in transit.
    pub too_old: u64,
    /// Members newly suspected.
    pub suspected: u64,
    /// Members declared failed.
    pub failed: u64,
    /// Changes of the protocol version in use.
    pub version_changes: u64,
}
