//! The settings of a process: the file, its fields, and what they must be. The names of fields are those of the page of
//! settings.
use magpiegap_control::Tolerance;
use magpiegap_protocol::{FailureDomainId, Location};
use serde::Deserialize;
use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
};

/// The variable that names the settings file.
const SETTINGS_VARIABLE: &str = "MAGPIEGAP_BOOT";

/// An error of a settings file.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// No file is named.
    #[error("no settings file: name one with --settings or in {SETTINGS_VARIABLE}")]
    NoFile,
    /// The file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is no settings file.
    #[error("{file}: {}", in_one_line(source))]
    Malformed {
        /// The file.
        file: PathBuf,
        /// What is wrong, and where.
        source: toml::de::Error,
    },
    /// A field has a value that can't be used.
    #[error("{file}: {field} must be {must}")]
    Field {
        /// The file.
        file: PathBuf,
        /// The field.
        field: &'static str,
        /// What it must be.
        must: &'static str,
    },
}

/// The text of an error without its line breaks.
fn in_one_line(error: &toml::de::Error) -> String {
    error.to_string().trim().replace('\n', " ")
}

/// A field with a value that can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FieldFault {
    /// The field.
    pub field: &'static str,
    /// What it must be.
    pub must: &'static str,
}

impl FieldFault {
    /// The fault as an error of that file.
    pub(crate) fn in_file(self, file: &Path) -> SettingsError {
        SettingsError::Field {
            file: file.to_owned(),
            field: self.field,
            must: self.must,
        }
    }
}

/// Where the process listens for what its role serves.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Listen {
    /// For clients.
    pub frontend: Option<SocketAddr>,
    /// For the platform's readiness checks.
    pub readiness: Option<SocketAddr>,
    /// For the operator.
    pub control_plane: Option<SocketAddr>,
}

/// The failures that are tolerated at once.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct FaultTolerance {
    /// Number of machines that may fail.
    pub machines: usize,
    /// Number of zones that may fail.
    pub zones: usize,
    /// Number of regions that may fail.
    pub regions: usize,
}

impl From<FaultTolerance> for Tolerance {
    fn from(settings: FaultTolerance) -> Tolerance {
        let FaultTolerance {
            machines,
            zones,
            regions,
        } = settings;
        Tolerance {
            machines,
            zones,
            regions,
        }
    }
}

impl Default for FaultTolerance {
    fn default() -> Self {
        FaultTolerance {
            machines: 1,
            zones: 0,
            regions: 0,
        }
    }
}

/// Bounds of the rules in force that the program needs.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Grace period of a process after a SIGTERM, in seconds.
    #[serde(rename = "graceS")]
    pub grace_s: f64,
    /// Maximum duration of a lease on a worker, in milliseconds.
    #[serde(rename = "maxHoldMs")]
    pub max_hold_ms: f64,
    /// Maximum time that a worker takes to stop a run, in milliseconds.
    pub stop_ms: f64,
    /// Maximum time that members of a gang wait for each other, in milliseconds.
    pub gang_ms: f64,
    /// How long the state of an ended job is shown, in seconds.
    pub status_s: f64,
    /// How many times as long a task takes away from its data.
    pub far_x: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            grace_s: 6.0,
            max_hold_ms: 6000.0,
            stop_ms: 400.0,
            gang_ms: 3000.0,
            status_s: 120.0,
            far_x: 2.0,
        }
    }
}

/// What the machine gives to the process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct MachineLimits {
    /// Maximum number of open file descriptors.
    pub max_fds: usize,
}

impl Default for MachineLimits {
    fn default() -> Self {
        MachineLimits { max_fds: 4096 }
    }
}

/// The platform's list of workers.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Cloud {
    /// Where the list is served.
    pub address: Option<SocketAddr>,
    /// Rate limit of calls by all coordinators together, per second.
    pub rate_per_s: f64,
    /// Maximum age of the list, in milliseconds.
    pub max_lag_ms: f64,
}

/// The settings of a process. Unknown fields are ignored.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct NodeSettings {
    /// Name of the machine.
    #[serde(default)]
    pub node_name: String,
    /// Name of the role.
    #[serde(default)]
    pub role: String,
    /// The machine's address.
    pub ip: Ipv4Addr,
    /// The machine's zone.
    #[serde(default)]
    pub zone: String,
    /// The region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// First and last port free for the processes among themselves.
    pub internal_port_range: (u16, u16),
    /// Addresses of machines that serve the control plane.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the entire system starts for the first time, with empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// The folder of the state on disk.
    pub data_dir: Option<PathBuf>,
    /// How orders get to workers.
    #[serde(default)]
    pub commands: String,
    /// Where the process listens.
    #[serde(default)]
    pub listen: Listen,
    /// The failures that are tolerated at once.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Bounds of the rules.
    #[serde(default)]
    pub bounds: Bounds,
    /// What the machine gives to the process.
    #[serde(default)]
    pub limits: MachineLimits,
    /// The platform's list.
    #[serde(default)]
    pub cloud: Cloud,
}

/// A field's check.
struct FieldCheck {
    is_fine: bool,
    field: &'static str,
    must: &'static str,
}

fn check(is_fine: bool, field: &'static str, must: &'static str) -> FieldCheck {
    FieldCheck {
        is_fine,
        field,
        must,
    }
}

impl NodeSettings {
    /// The settings file: the one named, or the one that the environment names.
    ///
    /// # Errors
    /// When neither names one.
    pub fn file(named: Option<PathBuf>) -> Result<PathBuf, SettingsError> {
        let from_environment = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
        named.or_else(from_environment).ok_or(SettingsError::NoFile)
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// The first fault found.
    pub fn read(file: &Path) -> Result<NodeSettings, SettingsError> {
        let (settings, _) = NodeSettings::parse(file)?;
        match settings.faults().first() {
            None => Ok(settings),
            Some(fault) => Err(fault.in_file(file)),
        }
    }

    /// Reads a settings file without checking its values. Returns the names of fields that this program does not use,
    /// too.
    ///
    /// # Errors
    /// When it can't be read, or is no settings file.
    pub(crate) fn parse(file: &Path) -> Result<(NodeSettings, Vec<String>), SettingsError> {
        let malformed = |source: toml::de::Error| SettingsError::Malformed {
            file: file.to_owned(),
            source,
        };
        let text = std::fs::read_to_string(file).map_err(|source| SettingsError::Unreadable {
            file: file.to_owned(),
            source,
        })?;
        let source = toml::Deserializer::parse(&text).map_err(malformed)?;
        let mut unused = Vec::new();
        let settings = serde_ignored::deserialize(source, |path| unused.push(path.to_string()))
            .map_err(malformed)?;
        Ok((settings, unused))
    }

    /// All fields with values that can't be used.
    pub(crate) fn faults(&self) -> Vec<FieldFault> {
        let (first, last) = self.internal_port_range;
        let is_duration = |value: f64| (0.0..=1e9).contains(&value);
        let bounds = &self.bounds;
        let tolerance = self.fault_tolerance;
        let checks = [
            check(
                first > 0 && last >= first.saturating_add(2),
                "internalPortRange",
                "at least three ports",
            ),
            check(
                is_duration(bounds.max_hold_ms) && bounds.max_hold_ms >= 500.0,
                "bounds.maxHoldMs",
                "at least 500",
            ),
            check(
                is_duration(bounds.stop_ms),
                "bounds.stop_ms",
                "a time of at least 0",
            ),
            check(
                is_duration(bounds.gang_ms),
                "bounds.gang_ms",
                "a time of at least 0",
            ),
            check(
                is_duration(bounds.grace_s),
                "bounds.graceS",
                "a time of at least 0",
            ),
            check(
                is_duration(bounds.status_s),
                "bounds.status_s",
                "a time of at least 0",
            ),
            check(
                is_duration(bounds.far_x),
                "bounds.far_x",
                "a number of at least 0",
            ),
            check(
                tolerance.machines <= 8,
                "faultTolerance.machines",
                "at most 8",
            ),
            check(tolerance.zones <= 4, "faultTolerance.zones", "at most 4"),
            check(
                tolerance.regions <= 4,
                "faultTolerance.regions",
                "at most 4",
            ),
        ];
        let is_faulty = |check: &FieldCheck| !check.is_fine;
        let faulty = checks.into_iter().filter(is_faulty);
        faulty
            .map(|FieldCheck { field, must, .. }| FieldFault { field, must })
            .collect()
    }

    /// The failure domains of the machine. Its region is the one that the table of zones names.
    pub fn location(&self) -> Location {
        let region = self.zones.get(&self.zone).map_or("", String::as_str);
        Location {
            zone: FailureDomainId::of(&self.zone),
            region: FailureDomainId::of(region),
        }
    }

    /// Where coordinators listen for each other.
    pub fn peer_port(&self) -> u16 {
        self.internal_port_range.0
    }

    /// Where coordinators listen for agents and proxies.
    pub fn request_port(&self) -> u16 {
        self.internal_port_range.0 + 1
    }

    /// Where the agent listens for the proxy beside it.
    pub fn agent_address(&self) -> SocketAddr {
        // Machines that are all on this host, each with a loopback address of its own, must not share one port.
        let ip = if self.ip.is_loopback() {
            self.ip
        } else {
            Ipv4Addr::LOCALHOST
        };
        SocketAddr::new(IpAddr::V4(ip), self.internal_port_range.0 + 2)
    }

    /// Addresses of the seeds, as numbers.
    pub fn seed_addresses(&self) -> Vec<u32> {
        let address = |seed: &SocketAddr| match seed.ip() {
            IpAddr::V4(ip) => Some(u32::from(ip)),
            IpAddr::V6(_) => None,
        };
        self.seeds.iter().filter_map(address).collect()
    }
}
