//! The options as types, and their defaults. Owns no state.
use balancer_gossip::SUPPORTED_VERSIONS;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// Targets of log events.
pub const LOG_TARGETS: [&str; 9] = [
    "run",
    "discovery",
    "callers",
    "requests",
    "attempts",
    "module",
    "figures",
    "recovery",
    "peers",
];
/// Shortest interval of metrics snapshots, and of saves of what was learned.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Longest of these intervals. Times far beyond it can't be added to the clock.
const MAX_INTERVAL: Duration = Duration::from_secs(24 * 60 * 60);
/// The longest time that a start may wait for its folder: nobody is served meanwhile.
const MAX_START_TIMEOUT: Duration = Duration::from_secs(60);

/// How much is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing.
    Off,
    /// What went wrong.
    Error,
    /// What may go wrong.
    Warn,
    /// What an operator wants to know of a day.
    Info,
    /// Each request and attempt.
    Debug,
}

/// How a line of the log looks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// For people.
    Text,
    /// One object a line.
    Json,
}

/// `[log]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "Log")]
pub struct LogOptions {
    /// How much is logged.
    pub level: Level,
    /// How a line looks. Fixed for as long as the program runs.
    pub format: Format,
    /// Maximum of lines a second from one call site.
    pub rate: u32,
    /// Levels of single targets, where they differ.
    #[serde(rename = "parts")]
    pub targets: BTreeMap<String, Level>,
}

/// `[figures]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "Figures")]
pub struct MetricsOptions {
    /// Where `figures.json` is written; empty: nowhere. Fixed for as long as the program runs.
    pub dir: PathBuf,
    /// Whether snapshots are logged.
    pub log: bool,
    /// Interval of snapshots.
    #[serde(rename = "every", with = "humantime_serde")]
    pub interval: Duration,
}

impl MetricsOptions {
    /// Whether anything is counted.
    pub fn is_on(&self) -> bool {
        self.log || !self.dir.as_os_str().is_empty()
    }
}

/// `[recovery]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "Recovery")]
pub struct RecoveryOptions {
    /// Where state is persisted; empty: nowhere. Fixed for as long as the program runs.
    pub dir: PathBuf,
    /// A saved list of upstreams is used until it is this old. Read at the start only.
    #[serde(rename = "list_age", with = "humantime_serde")]
    pub max_list_age: Duration,
    /// Whether what the decisions have learned is restored. Read at the start only.
    #[serde(rename = "learned")]
    pub restore_learned: bool,
    /// Interval at which what they have learned is saved.
    #[serde(rename = "every", with = "humantime_serde")]
    pub interval: Duration,
    /// The start waits this long for the folder; one that has not answered by then is done without.
    #[serde(with = "humantime_serde")]
    pub start_timeout: Duration,
    /// For fault injection: a file that says what the disk does wrong; empty: nothing.
    #[serde(rename = "drill")]
    pub fault_file: PathBuf,
}

impl RecoveryOptions {
    /// Whether anything is persisted.
    pub fn is_on(&self) -> bool {
        !self.dir.as_os_str().is_empty()
    }
}

/// `[peers]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "Peers")]
pub struct PeerOptions {
    /// Whether this replica speaks with the others of its tier, where the settings allow that. Fixed for as long as the
    /// program runs.
    pub on: bool,
    /// The highest protocol version to support, if the program supports a higher one. Fixed for as long as the program
    /// runs.
    #[serde(rename = "version_most")]
    pub max_version: u8,
    /// Whether load shedding uses the sums of demand, capacity and attempts over the tier.
    #[serde(rename = "shed")]
    pub use_load_sums: bool,
    /// Whether quotas use each tenant's sums of calls in flight and of client connections.
    #[serde(rename = "shares")]
    pub use_tenant_sums: bool,
    /// Whether the decisions use the number of replicas up, and this one's position among them.
    #[serde(rename = "trials")]
    pub use_membership: bool,
    /// Whether the decisions use the evidence of other replicas against upstreams and zones.
    #[serde(rename = "verdicts")]
    pub use_evidence: bool,
}

/// All options.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// The log.
    pub log: LogOptions,
    /// The metrics.
    #[serde(rename = "figures")]
    pub metrics: MetricsOptions,
    /// What outlives the program.
    pub recovery: RecoveryOptions,
    /// The tier's other replicas.
    pub peers: PeerOptions,
}

/// What is wrong with the value of an option.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidOption {
    /// A rate of zero.
    #[error("must be at least 1")]
    ZeroRate,
    /// An interval out of bounds.
    #[error("must be at least 100ms and at most 24h")]
    Interval,
    /// A time that a start may not wait for its folder.
    #[error("must be at most 1m")]
    StartTimeout,
    /// A highest version below the lowest that is supported.
    #[error(
        "no version is left; this program reads {} to {}",
        SUPPORTED_VERSIONS.min,
        SUPPORTED_VERSIONS.max
    )]
    NoVersion,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            log: LogOptions {
                level: Level::Info,
                format: Format::Text,
                rate: 20,
                targets: BTreeMap::new(),
            },
            metrics: MetricsOptions {
                dir: PathBuf::new(),
                log: false,
                interval: Duration::from_secs(1),
            },
            recovery: RecoveryOptions {
                dir: PathBuf::new(),
                max_list_age: Duration::from_secs(3600),
                restore_learned: true,
                interval: Duration::from_secs(1),
                start_timeout: Duration::from_millis(500),
                fault_file: PathBuf::new(),
            },
            peers: PeerOptions {
                on: false,
                max_version: SUPPORTED_VERSIONS.max,
                use_load_sums: true,
                use_tenant_sums: true,
                use_membership: true,
                use_evidence: true,
            },
        }
    }
}

impl Options {
    /// Checks what the types alone do not say.
    ///
    /// # Errors
    /// Names the first rule that a value breaks.
    pub fn check(&self) -> Result<(), InvalidOption> {
        if self.log.rate == 0 {
            return Err(InvalidOption::ZeroRate);
        }
        let allowed = MIN_INTERVAL..=MAX_INTERVAL;
        if !allowed.contains(&self.metrics.interval) || !allowed.contains(&self.recovery.interval) {
            return Err(InvalidOption::Interval);
        }
        if self.recovery.start_timeout > MAX_START_TIMEOUT {
            return Err(InvalidOption::StartTimeout);
        }
        if self.peers.max_version < SUPPORTED_VERSIONS.min {
            return Err(InvalidOption::NoVersion);
        }
        Ok(())
    }
}
