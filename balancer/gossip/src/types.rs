//! Inputs and outputs of [`Peers`](crate::Peers): plain values that know nothing of requests or sockets.
//!
//! Every time is in milliseconds on one monotonic clock of this replica's own; no clock is ever compared with another
//! replica's.

/// Milliseconds: a point on this replica's monotonic clock, or a span of it.
pub type Millis = f64;

/// The length of the longest datagram that may be sent, in bytes.
pub const MAX_DATAGRAM_LEN: usize = 256;

/// The length of the header, in bytes. Every datagram of every version begins with these bytes, all numbers big-endian,
/// and ends with the CRC-32 (IEEE) of all before it, so that replicas of any two versions learn which versions the
/// other supports:
///
/// | at | bytes | what |
/// | --- | --- | --- |
/// | 0 | 2 | [`MAGIC`] |
/// | 2 | 1 | the version that the rest is written in |
/// | 3 | 1 | the lowest version that the sender supports |
/// | 4 | 1 | the highest |
/// | 5 | 2 | the sender's position in the list |
/// | 7 | 8 | its incarnation |
/// | 15 | 4 | [`Config::deployment`] |
/// | 19 | 8 | the number of the agreement on a version that it knows of ([`TierState::epoch`]) |
pub const HEADER_LEN: usize = 27;
/// The first two bytes of every datagram.
pub const MAGIC: [u8; 2] = *b"oP";

/// A candidate for membership: a position in the list of the tier's addresses, the same at every replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member(pub u16);

/// A range of versions of the protocol that a replica supports, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct VersionRange {
    /// The lowest.
    pub min: u8,
    /// The highest.
    pub max: u8,
}

impl VersionRange {
    /// Whether a version is in the range.
    pub(crate) fn contains(self, version: u8) -> bool {
        self.min <= version && version <= self.max
    }

    /// Whether two ranges have a version in common.
    pub(crate) fn overlaps(self, other: VersionRange) -> bool {
        self.min <= other.max && other.min <= self.max
    }
}

/// The versions that this program supports: 1 has membership and verdicts, 2 sums over the tier as well.
pub const SUPPORTED_VERSIONS: VersionRange = VersionRange { min: 1, max: 2 };

/// The configuration of a replica at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// This replica's position in the list.
    pub own: Member,
    /// The length of the list; at most [`u16::MAX`].
    pub candidates: u16,
    /// A number that grows with each start of this replica, as far as it can tell.
    pub incarnation: u64,
    /// The seed of random choices.
    pub seed: u64,
    /// The zone of this replica.
    pub zone: u16,
    /// How many tenants there are; the same at every replica whose [`Config::deployment`] is.
    pub tenants: u16,
    /// A hash of what must be the same for sums and positions to mean the same at two replicas.
    pub deployment: u32,
    /// The versions it supports and may speak: [`SUPPORTED_VERSIONS`], or less where the operator pins them.
    pub supported_versions: VersionRange,
}

/// The reason why a [`Config`] was rejected, as one line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ConfigError(pub &'static str);

/// The load of one tenant. It adds up over the tier.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantLoad {
    /// Requests a second that were asked for.
    pub demand: f64,
    /// Calls to upstreams in flight: the mean over a second, so that slow calls count for as long as they last.
    pub calls: f64,
    /// Open connections of clients.
    pub client_connections: f64,
}

/// The load of a replica, or of a tier.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests a second that were asked for.
    pub demand: f64,
    /// Capacity of the next tier in requests a second, as the replica estimates it.
    pub capacity: f64,
    /// First attempts a second.
    pub first_attempts: f64,
    /// Retries a second.
    pub retries: f64,
    /// Each tenant, by its position in the settings; a last entry for all that these don't name.
    pub tenants: Vec<TenantLoad>,
}

/// The subject of a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// An upstream, by the hash of its name that all replicas use as its id.
    Upstream(u64),
    /// A zone, by its position in the settings.
    Zone(u16),
}

/// All that this replica observes itself; replaces the former observations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observations {
    /// Its load.
    pub load: Load,
    /// What it has evidence against, the worst first.
    pub against: Vec<Subject>,
    /// What it had evidence against and has had a response from since, the latest first: others may use it again.
    pub cleared: Vec<Subject>,
}

/// Sums over the live members.
#[derive(Clone, Debug, PartialEq)]
pub struct Sums {
    /// The sums, this replica's own load included.
    pub load: Load,
    /// The upper bound of the age of the oldest load in them.
    pub age: Millis,
    /// Members whose loads are in them, of those that are up; the sums are scaled from these to all.
    pub heard: u32,
    /// The relative standard error of the sum of demands that the scaling brings; zero where the loads of all are
    /// known.
    pub error: f64,
}

/// Evidence of others against an upstream or a zone. This replica's own is not in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// The subject.
    pub subject: Subject,
    /// Distinct replicas that observe it now, and the distinct zones these are in.
    pub observers: u32,
    /// See there.
    pub zones: u32,
    /// Distinct replicas that have had a response from it since.
    pub cleared: u32,
    /// The upper bound of the age of the youngest of it.
    pub age: Millis,
}

/// What the tier knows, as far as this replica has received it. What is older than its bound is not in it.
#[derive(Clone, Debug, PartialEq)]
pub struct TierState {
    /// Members that are up, this replica included, and its position among them in the list's order.
    pub up: u32,
    /// See there.
    pub position: u32,
    /// The version that all live members speak, and the number of the agreement on it, which only grows.
    pub version: u8,
    /// See there.
    pub epoch: u64,
    /// Whether this replica is not isolated: more than half of the members that were up are known to be alive.
    pub joined: bool,
    /// Sums over the tier; absent where too few fresh loads were received, or the version has none.
    pub sums: Option<Sums>,
    /// Evidence of others.
    pub evidence: Vec<Evidence>,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// To whom.
    pub to: Member,
    /// Its bytes: [`MAX_DATAGRAM_LEN`] at most.
    pub bytes: Vec<u8>,
}

/// A notification for the operator; each change once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notification(pub String);

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// See there.
    pub sent_bytes: u64,
    /// Datagrams read, and their bytes.
    pub read: u64,
    /// See there.
    pub read_bytes: u64,
    /// Datagrams dropped, and why: malformed, of another deployment, of a version not spoken, too old.
    pub malformed: u64,
    /// See there.
    pub foreign_deployment: u64,
    /// See there.
    pub unsupported_version: u64,
    /// See there.
    pub old: u64,
    /// Members newly suspected, and declared failed.
    pub suspected: u64,
    /// See there.
    pub failed: u64,
    /// Changes of the version spoken.
    pub steps: u64,
}
