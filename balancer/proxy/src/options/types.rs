//! The options as types, and their defaults. Owns no state.
use balancer_gossip::SUPPORTED_VERSIONS;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

/// Parts of the program whose events can be told apart.
pub const PARTS: [&str; 9] = [
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
/// The shortest time between two snapshots of the figures, or of what was learned.
const EVERY_LEAST: Duration = Duration::from_millis(100);
/// The longest. Times far beyond it can't be added to the clock.
const EVERY_MOST: Duration = Duration::from_secs(24 * 60 * 60);

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
#[serde(deny_unknown_fields)]
pub struct Log {
    /// How much is logged.
    pub level: Level,
    /// How a line looks. Fixed for as long as the program runs.
    pub format: Format,
    /// Lines a second, at most, from one cause.
    pub rate: u32,
    /// Levels of single parts, where they differ.
    pub parts: BTreeMap<String, Level>,
}

/// `[figures]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Figures {
    /// Where `figures.json` is written; empty: nowhere. Fixed for as long as the program runs.
    pub dir: PathBuf,
    /// Whether snapshots are logged.
    pub log: bool,
    /// How often a snapshot is made.
    #[serde(with = "humantime_serde")]
    pub every: Duration,
}

impl Figures {
    /// Whether anything is counted.
    pub fn on(&self) -> bool {
        self.log || !self.dir.as_os_str().is_empty()
    }
}

/// `[recovery]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recovery {
    /// Where state is kept; empty: nowhere. Fixed for as long as the program runs.
    pub dir: PathBuf,
    /// A kept list of upstreams is used until it is this old. Read at the start only.
    #[serde(with = "humantime_serde")]
    pub list_age: Duration,
    /// Whether what the decisions have learned is taken back. Read at the start only.
    pub learned: bool,
    /// How often what they have learned is kept.
    #[serde(with = "humantime_serde")]
    pub every: Duration,
    /// For drills: a file that says what the disk does wrong; empty: nothing.
    pub drill: PathBuf,
}

/// `[peers]`
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Whether this copy speaks with the others of its tier, where the settings allow that. Fixed for as long as the
    /// program runs.
    pub on: bool,
    /// The highest version of the peers' protocol that it reads and speaks, if the program knows a higher one. Fixed
    /// for as long as the program runs.
    pub version_most: u8,
    /// Whether the decisions hear the sums of demand, room and attempts over the tier.
    pub shed: bool,
    /// Whether they hear each tenant's sums of calls and of callers' connections.
    pub shares: bool,
    /// Whether they hear how many copies are up, and the place of this one among them.
    pub trials: bool,
    /// Whether they hear the evidence of others against upstreams and zones.
    pub verdicts: bool,
}

/// All options.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Options {
    /// The log.
    pub log: Log,
    /// The figures.
    pub figures: Figures,
    /// What outlives the program.
    pub recovery: Recovery,
    /// The other copies of the tier.
    pub peers: Peers,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            log: Log {
                level: Level::Info,
                format: Format::Text,
                rate: 20,
                parts: BTreeMap::new(),
            },
            figures: Figures {
                dir: PathBuf::new(),
                log: false,
                every: Duration::from_secs(1),
            },
            recovery: Recovery {
                dir: PathBuf::new(),
                list_age: Duration::from_secs(3600),
                learned: true,
                every: Duration::from_secs(1),
                drill: PathBuf::new(),
            },
            peers: Peers {
                on: false,
                version_most: SUPPORTED_VERSIONS.max,
                shed: true,
                shares: true,
                trials: true,
                verdicts: true,
            },
        }
    }
}

impl Options {
    /// What the types alone do not say.
    pub fn check(&self) -> Result<(), String> {
        if self.log.rate == 0 {
            return Err("must be at least 1".into());
        }
        let period = EVERY_LEAST..=EVERY_MOST;
        if !period.contains(&self.figures.every) || !period.contains(&self.recovery.every) {
            return Err("must be at least 100ms and at most 24h".into());
        }
        if self.peers.version_most < SUPPORTED_VERSIONS.min {
            return Err(format!(
                "no version is left; this program reads {} to {}",
                SUPPORTED_VERSIONS.min, SUPPORTED_VERSIONS.max
            ));
        }
        Ok(())
    }
}
