//! What goes in and out of [`Peers`](crate::Peers): plain values that know nothing of requests or sockets.
//!
//! Every time is in milliseconds on one monotonic clock of this replica's own; no clock is ever compared with another
//! replica's.

/// Milliseconds: a point on this replica's monotonic clock, or a span of it.
pub type Millis = f64;

/// The longest datagram that may be sent, in bytes.
pub const DATAGRAM_MOST: usize = 256;

/// Every datagram of every version begins with these bytes, all numbers big-endian, and ends with the CRC-32 (IEEE) of
/// all before it, so that replicas of any two versions learn what the other reads:
///
/// | at | bytes | what |
/// | --- | --- | --- |
/// | 0 | 2 | [`MAGIC`] |
/// | 2 | 1 | the version that the rest is written in |
/// | 3 | 1 | the lowest version that the sender reads |
/// | 4 | 1 | the highest |
/// | 5 | 2 | the sender's place in the list |
/// | 7 | 8 | its incarnation |
/// | 15 | 4 | [`Config::deployment`] |
/// | 19 | 8 | the number of the agreement on a version that it knows of ([`Word::epoch`]) |
pub const HEADER: usize = 27;
/// The first two bytes of every datagram.
pub const MAGIC: [u8; 2] = *b"oP";

/// A candidate for membership: a position in the list of the tier's addresses, the same at every replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member(pub u16);

/// Versions of the protocol that a replica reads, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Versions {
    /// The lowest.
    pub least: u8,
    /// The highest.
    pub most: u8,
}

/// The versions that this program reads: 1 has membership and verdicts, 2 sums over the tier as well.
pub const READS: Versions = Versions { least: 1, most: 2 };

/// The configuration of a replica at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// This replica's place in the list.
    pub own: Member,
    /// How many places the list has; at most [`u16::MAX`].
    pub candidates: u16,
    /// A number that grows with each start of this replica, as far as it can tell.
    pub incarnation: u64,
    /// Feeds random choices.
    pub seed: u64,
    /// The zone of this replica.
    pub zone: u16,
    /// How many tenants there are; the same at every replica whose [`Config::deployment`] is.
    pub tenants: u16,
    /// A hash of what must be the same for sums and positions to mean the same at two replicas.
    pub deployment: u32,
    /// The versions it reads and may speak: [`READS`], or less where the operator pins them.
    pub reads: Versions,
}

/// Why a [`Config`] was refused, as one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError(pub &'static str);

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for ConfigError {}

/// What is observed of one tenant. Sums of it add up over the tier.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantFigures {
    /// Requests a second that were asked for.
    pub demand: f64,
    /// Calls to upstreams in flight: the mean over a second, so that slow calls count for as long as they last.
    pub calls: f64,
    /// Clients' connections held.
    pub callers: f64,
}

/// What adds up over a tier.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Requests a second that were asked for.
    pub demand: f64,
    /// Capacity of the next tier in requests a second, as the replica estimates it.
    pub room: f64,
    /// First attempts a second.
    pub firsts: f64,
    /// Further attempts a second.
    pub retries: f64,
    /// Each tenant, by its position in the settings; a last place for all that these don't name.
    pub tenants: Vec<TenantFigures>,
}

/// What a verdict is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Subject {
    /// An upstream, by the hash of its name that all replicas use as its id.
    Upstream(u64),
    /// A zone, by its position in the settings.
    Zone(u16),
}

/// What this replica observes itself, in whole each time; replaces the former observations.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Own {
    /// Its figures.
    pub figures: Figures,
    /// What it has evidence against, the worst first.
    pub against: Vec<Subject>,
    /// What it had evidence against and has had an answer from since, the latest first: others may come back to it.
    pub cleared: Vec<Subject>,
}

/// Sums over the live members.
#[derive(Clone, Debug, PartialEq)]
pub struct Sums {
    /// The sums, this replica's own figures included.
    pub figures: Figures,
    /// The oldest figure in them is at most this old.
    pub age: Millis,
    /// Members whose figures are in them, of those that are up; the sums are scaled from these to all.
    pub heard: u32,
    /// The relative standard error of the sum of demands that the scaling brings; zero where the figures of all are
    /// known.
    pub error: f64,
}

/// Evidence of others against an upstream or a zone. This replica's own is not in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// Against what.
    pub subject: Subject,
    /// Distinct replicas that observe it now, and the distinct zones these are in.
    pub observers: u32,
    /// See there.
    pub zones: u32,
    /// Distinct replicas that it has answered again since.
    pub cleared: u32,
    /// The youngest of it is at most this old.
    pub age: Millis,
}

/// What the tier knows, as far as this replica has received it. What is older than its bound is not in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Word {
    /// Members that are up, this replica included, and its place among them in the list's order.
    pub up: u32,
    /// See there.
    pub place: u32,
    /// The version that all live members speak, and the number of the agreement on it, which only grows.
    pub version: u8,
    /// See there.
    pub epoch: u64,
    /// Whether this replica is not isolated: more than half of the members that were up are known to be alive.
    pub joined: bool,
    /// Sums over the tier; absent where too few fresh figures were received, or the version has none.
    pub sums: Option<Sums>,
    /// Evidence of others.
    pub evidence: Vec<Evidence>,
}

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transmit {
    /// To whom.
    pub to: Member,
    /// Its bytes: [`DATAGRAM_MOST`] at most.
    pub bytes: Vec<u8>,
}

/// A line for the operator; each change once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told(pub String);

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent, and their bytes.
    pub sent: u64,
    /// See there.
    pub sent_bytes: u64,
    /// Datagrams read, and their bytes.
    pub read: u64,
    /// See there.
    pub read_bytes: u64,
    /// Datagrams dropped, and why: not ours or broken, of another deployment, of a version not spoken, too old.
    pub broken: u64,
    /// See there.
    pub foreign: u64,
    /// See there.
    pub unspoken: u64,
    /// See there.
    pub old: u64,
    /// Members newly suspected, and taken for gone.
    pub suspected: u64,
    /// See there.
    pub gone: u64,
    /// Changes of the version spoken.
    pub steps: u64,
}
