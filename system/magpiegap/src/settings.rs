//! The settings file of a process: its fields, defaults and validation. Field names are part of the documented settings
//! format.
use magpiegap_control::Tolerance;
use magpiegap_protocol::{FailureDomainId, Location};
use serde::Deserialize;
use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
};

/// Environment variable with the path of the settings file.
const SETTINGS_VARIABLE: &str = "MAGPIEGAP_BOOT";

/// Why settings could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// Neither the command line nor the environment names a settings file.
    #[error("no settings file: name one with --settings or in {SETTINGS_VARIABLE}")]
    NoFile,
    /// The file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The path of the file.
        file: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a field has the wrong type.
    #[error("{file}: {}", in_one_line(source))]
    Malformed {
        /// The path of the file.
        file: PathBuf,
        /// The parse error with its position.
        source: toml::de::Error,
    },
    /// A field has an invalid value.
    #[error("{file}: {field} must be {must_be}")]
    Field {
        /// The path of the file.
        file: PathBuf,
        /// The name of the field.
        field: &'static str,
        /// The requirement that the value violates.
        must_be: &'static str,
    },
}

/// Formats an error on one line.
fn in_one_line(error: &toml::de::Error) -> String {
    error.to_string().trim().replace('\n', " ")
}

/// A field with an invalid value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FieldFault {
    /// The name of the field.
    pub field: &'static str,
    /// The requirement that the value violates.
    pub must_be: &'static str,
}

impl FieldFault {
    /// Converts the fault to an error that names the file.
    pub(crate) fn in_file(self, file: &Path) -> SettingsError {
        SettingsError::Field {
            file: file.to_owned(),
            field: self.field,
            must_be: self.must_be,
        }
    }
}

/// Listen addresses; which of them are used depends on the role.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Listen {
    /// Address for client requests.
    pub frontend: Option<SocketAddr>,
    /// Address for the platform's readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Address for operator requests.
    pub control_plane: Option<SocketAddr>,
}

/// Numbers of simultaneous failures that the cluster must tolerate.
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

/// Timing and placement limits set by the environment, as far as this program uses them.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Grace period of a process after SIGTERM, in seconds.
    #[serde(rename = "graceS")]
    pub grace_s: f64,
    /// Maximum duration of a lease on a worker, in milliseconds.
    #[serde(rename = "maxHoldMs")]
    pub max_hold_ms: f64,
    /// Maximum time that a worker needs to stop a run, in milliseconds.
    pub stop_ms: f64,
    /// Maximum time that members of a gang wait for each other, in milliseconds.
    pub gang_ms: f64,
    /// How long the state of a finished job is retained, in seconds.
    pub status_s: f64,
    /// Factor by which a task takes longer when it runs away from its data.
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

/// Resource limits of the process.
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

/// Access to the platform's list of workers.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Cloud {
    /// Address that serves the list.
    pub address: Option<SocketAddr>,
    /// Rate limit for calls of all coordinators together, per second.
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
    /// First and last port available for communication between the processes.
    pub internal_port_range: (u16, u16),
    /// Addresses of the coordinators to contact first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether a new cluster is started, with empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// Data folder for the state on disk.
    pub data_dir: Option<PathBuf>,
    /// The protocol by which workers receive orders.
    #[serde(default)]
    pub commands: String,
    /// Listen addresses.
    #[serde(default)]
    pub listen: Listen,
    /// Numbers of simultaneous failures that the cluster must tolerate.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Limits on timing and placement.
    #[serde(default)]
    pub bounds: Bounds,
    /// Resource limits of the process.
    #[serde(default)]
    pub limits: MachineLimits,
    /// Access to the platform's list of workers.
    #[serde(default)]
    pub cloud: Cloud,
}

/// The result of validating one field.
struct FieldCheck {
    is_valid: bool,
    field: &'static str,
    must_be: &'static str,
}

fn check(is_valid: bool, field: &'static str, must_be: &'static str) -> FieldCheck {
    FieldCheck {
        is_valid,
        field,
        must_be,
    }
}

impl NodeSettings {
    /// Returns the path of the settings file: `named`, or else the value of `MAGPIEGAP_BOOT`.
    ///
    /// # Errors
    /// When neither is set.
    pub fn file(named: Option<PathBuf>) -> Result<PathBuf, SettingsError> {
        let from_environment = || std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
        named.or_else(from_environment).ok_or(SettingsError::NoFile)
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// When the file can't be parsed, or has an invalid field; the first one is reported.
    pub fn read(file: &Path) -> Result<NodeSettings, SettingsError> {
        let (settings, _) = NodeSettings::parse(file)?;
        match settings.faults().first() {
            None => Ok(settings),
            Some(fault) => Err(fault.in_file(file)),
        }
    }

    /// Parses a settings file without validating its values. Also returns the names of fields that this program does not
    /// use.
    ///
    /// # Errors
    /// When the file can't be read or parsed.
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

    /// Validates all fields and returns the invalid ones.
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
        let is_invalid = |check: &FieldCheck| !check.is_valid;
        let invalid = checks.into_iter().filter(is_invalid);
        invalid
            .map(|FieldCheck { field, must_be, .. }| FieldFault { field, must_be })
            .collect()
    }

    /// The failure domains of the machine. The region is looked up in the table of zones.
    pub fn location(&self) -> Location {
        let region = self.zones.get(&self.zone).map_or("", String::as_str);
        Location {
            zone: FailureDomainId::from_name(&self.zone),
            region: FailureDomainId::from_name(region),
        }
    }

    /// The port on which coordinators listen for each other.
    pub fn peer_port(&self) -> u16 {
        self.internal_port_range.0
    }

    /// The port on which coordinators listen for agents and proxies.
    pub fn request_port(&self) -> u16 {
        self.internal_port_range.0 + 1
    }

    /// The address on which the agent listens for the proxy on the same machine.
    pub fn agent_address(&self) -> SocketAddr {
        // Several machines may be simulated on one host, each with its own loopback address; 127.0.0.1 would make their
        // agents conflict on one port.
        let ip = if self.ip.is_loopback() {
            self.ip
        } else {
            Ipv4Addr::LOCALHOST
        };
        SocketAddr::new(IpAddr::V4(ip), self.internal_port_range.0 + 2)
    }

    /// The IPv4 addresses of the seeds, as integers. IPv6 addresses are skipped.
    pub fn seed_addresses(&self) -> Vec<u32> {
        let address = |seed: &SocketAddr| match seed.ip() {
            IpAddr::V4(ip) => Some(u32::from(ip)),
            IpAddr::V6(_) => None,
        };
        self.seeds.iter().filter_map(address).collect()
    }
}
