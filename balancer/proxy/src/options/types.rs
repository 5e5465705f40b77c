//! The options as types, and their defaults. Owns no state.
use balancer_gossip::SUPPORTED_VERSIONS;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// The targets of log events.
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
/// Minimum interval of metrics snapshots and of saves of the learned state.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum of these intervals. Far longer times would overflow when added to the clock.
const MAX_INTERVAL: Duration = Duration::from_secs(24 * 60 * 60);
/// Maximum time that a start may wait for the state folder, because no client is served meanwhile.
const MAX_START_TIMEOUT: Duration = Duration::from_secs(60);

/// A log level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing.
    Off,
    /// Failures.
    Error,
    /// Conditions that may cause failures.
    Warn,
    /// Events of interest in normal operation.
    Info,
    /// Every request and attempt.
    Debug,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// `[log]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "Log")]
pub struct LogOptions {
    /// The level of all targets that have none of their own.
    pub level: Level,
    /// The format of log lines. Cannot change at runtime.
    pub format: Format,
    /// Maximum number of lines per second from one call site.
    pub rate: u32,
    /// Levels of individual targets.
    #[serde(rename = "parts")]
    pub targets: BTreeMap<String, Level>,
}

/// `[figures]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "Figures")]
pub struct MetricsOptions {
    /// The folder for `figures.json`; empty: no file is written. Cannot change at runtime.
    pub dir: PathBuf,
    /// Whether snapshots are logged.
    pub log: bool,
    /// Interval of snapshots.
    #[serde(rename = "every", with = "humantime_serde")]
    pub interval: Duration,
}

impl MetricsOptions {
    /// Whether metrics are collected.
    pub fn is_enabled(&self) -> bool {
        self.log || !self.dir.as_os_str().is_empty()
    }
}

/// `[recovery]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "Recovery")]
pub struct RecoveryOptions {
    /// The folder for persisted state; empty: no state is persisted. Cannot change at runtime.
    pub dir: PathBuf,
    /// Maximum age of a saved list of upstreams that is restored. Used at the start only.
    #[serde(rename = "list_age", with = "humantime_serde")]
    pub max_list_age: Duration,
    /// Whether the learned state of the decision module is restored. Used at the start only.
    #[serde(rename = "learned")]
    pub restore_learned: bool,
    /// Interval at which the learned state is saved.
    #[serde(rename = "every", with = "humantime_serde")]
    pub interval: Duration,
    /// Maximum time that the start waits for the folder; after that, the balancer starts without persistence.
    #[serde(with = "humantime_serde")]
    pub start_timeout: Duration,
    /// For fault injection: a file that describes disk faults; empty: none.
    #[serde(rename = "drill")]
    pub fault_file: PathBuf,
}

impl RecoveryOptions {
    /// Whether state is persisted.
    pub fn is_enabled(&self) -> bool {
        !self.dir.as_os_str().is_empty()
    }
}

/// `[peers]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "Peers")]
pub struct PeerOptions {
    /// Whether this replica communicates with the others of its tier, if the settings allow that. Cannot change at
    /// runtime.
    pub on: bool,
    /// Limits the highest protocol version that this replica supports. Cannot change at runtime.
    #[serde(rename = "version_most")]
    pub max_version: u8,
    /// Whether load shedding uses the sums of demand, capacity and attempts over the tier.
    #[serde(rename = "shed")]
    pub use_load_sums: bool,
    /// Whether quotas use each tenant's sums of calls in flight and of client connections.
    #[serde(rename = "shares")]
    pub use_tenant_sums: bool,
    /// Whether the decision module uses the number of replicas that are up and this one's position among them.
    #[serde(rename = "trials")]
    pub use_membership: bool,
    /// Whether the decision module uses the evidence of other replicas against upstreams and zones.
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
    /// The state that outlives the process.
    pub recovery: RecoveryOptions,
    /// The tier's other replicas.
    pub peers: PeerOptions,
}

/// Why the value of an option is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidOption {
    /// The rate is zero.
    #[error("must be at least 1")]
    ZeroRate,
    /// An interval is out of bounds.
    #[error("must be at least 100ms and at most 24h")]
    Interval,
    /// The start timeout is too long.
    #[error("must be at most 1m")]
    StartTimeout,
    /// The maximum version is below the lowest supported version.
    #[error(
        "no supported version remains; this program supports {} to {}",
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
    /// Checks the rules that the types do not enforce.
    ///
    /// # Errors
    /// Returns the first violated rule.
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
