//! The configuration file as typed values. Errors name the invalid field.
use crate::json::{self, JsonError};
use crate::listing::{Listing, ListingError, Names};
use crate::one_line::one_line;
use crate::peers::UnparsedAddresses;
use balancer_settings::Deployment;
use serde::Deserialize;
use serde_json::value::{RawValue, Value};
use std::collections::HashSet;
use std::env::VarError;
use std::fs;
use std::io::{self, Read};
use std::net::SocketAddr;

/// Default limit of file descriptors.
const DEFAULT_SOCKETS: usize = 1024;
/// Minimum limit of file descriptors: fewer leave none for clients and upstreams.
const MIN_SOCKETS: usize = 64;
/// Maximum size of the configuration file, in bytes. Its list of upstreams alone may take 4 MiB.
const MAX_FILE_LEN: u64 = 16 << 20;

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<Box<RawValue>>,
    #[serde(default)]
    peer_listen: Value,
    #[serde(default)]
    peers: Value,
    settings: Box<RawValue>,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
}

/// The configuration of a balancer.
pub struct Config {
    /// The balancer's name.
    pub name: String,
    /// The address to listen on for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// Limit of file descriptors that the process may open.
    pub sockets: usize,
    /// The last known list of upstreams, if there is one.
    pub known: Option<Listing>,
    /// Why the list of upstreams in the configuration is unusable. The balancer starts without it: the list may be
    /// outdated, and discovery has the current one.
    pub known_error: Option<String>,
    /// Addresses of the tier's replicas, unparsed.
    pub(crate) peers: UnparsedAddresses,
    /// The settings of the decision module and of the proxy.
    pub deployment: Deployment,
}

/// Why the configuration is unusable.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The environment variable that names the file is missing or not UTF-8.
    #[error("NODE_CONFIG: {0}")]
    Variable(#[source] VarError),
    /// The file cannot be read.
    #[error("{}", one_line(&format!("NODE_CONFIG: {path}: {cause}")))]
    Read {
        /// The path of the file.
        path: String,
        /// The cause.
        #[source]
        cause: ReadError,
    },
    /// The file is not a valid configuration.
    #[error("{path}: {cause}")]
    Invalid {
        /// The path of the file.
        path: String,
        /// The cause.
        #[source]
        cause: InvalidConfig,
    },
}

/// Why a file cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// An I/O error.
    #[error("{0}")]
    Io(#[source] io::Error),
    /// The file exceeds the maximum size.
    #[error("larger than {MAX_FILE_LEN} bytes")]
    TooLarge,
}

/// Why a configuration is invalid: one line of bounded length that names the field.
#[derive(Debug, thiserror::Error)]
#[error("{}", one_line(&.0.to_string()))]
pub struct InvalidConfig(#[source] InvalidField);

#[derive(Debug, thiserror::Error)]
enum InvalidField {
    #[error(transparent)]
    Json(#[from] JsonError),
    #[error("settings: {0}")]
    Settings(#[source] Box<dyn std::error::Error + Send + Sync>),
    #[error("name: {0:?} has control characters")]
    Name(String),
    #[error("settings.{list}[{position}].name: missing")]
    NameMissing { list: &'static str, position: usize },
    #[error("settings.{list}[{position}].name: {name:?} is a duplicate")]
    DuplicateName {
        list: &'static str,
        position: usize,
        name: String,
    },
    #[error("seed: {0:?} is not a 64-bit hexadecimal number")]
    Seed(String),
    #[error("limits.sockets: must be at least {MIN_SOCKETS}")]
    Sockets,
}

impl Config {
    /// Reads the file that NODE_CONFIG names.
    ///
    /// # Errors
    /// Fails if the file cannot be read, or names the invalid field.
    pub fn load() -> Result<Config, ConfigError> {
        let path = std::env::var("NODE_CONFIG").map_err(ConfigError::Variable)?;
        let text = match read_bounded(&path) {
            Ok(text) => text,
            Err(cause) => return Err(ConfigError::Read { path, cause }),
        };
        Config::parse(&text).map_err(|cause| ConfigError::Invalid { path, cause })
    }

    /// Parses a configuration.
    ///
    /// # Errors
    /// Names the invalid field.
    pub fn parse(json: &[u8]) -> Result<Config, InvalidConfig> {
        Config::read(json).map_err(InvalidConfig)
    }

    fn read(json: &[u8]) -> Result<Config, InvalidField> {
        let file: File = json::parse(json)?;
        let deployment = balancer_settings::deployment(file.settings.get().as_bytes())
            .map_err(|error| InvalidField::Settings(error.into()))?;
        if file.name.chars().any(char::is_control) {
            return Err(InvalidField::Name(file.name));
        }
        check_names("classes", &deployment.classes)?;
        check_names("tenants", &deployment.tenants)?;
        let Ok(seed) = u64::from_str_radix(&file.seed, 16) else {
            return Err(InvalidField::Seed(file.seed));
        };
        let sockets = file.limits.sockets.unwrap_or(DEFAULT_SOCKETS);
        if sockets < MIN_SOCKETS {
            return Err(InvalidField::Sockets);
        }
        let (known, known_error) = match parse_known(file.known.as_deref(), &deployment) {
            Ok(known) => (known, None),
            Err(error) => (None, Some(one_line(&format!("known: {error}")))),
        };
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            seed,
            sockets,
            known,
            known_error,
            peers: UnparsedAddresses {
                listen: file.peer_listen,
                peers: file.peers,
            },
            deployment,
        })
    }
}

/// Parses the list of upstreams in the configuration, if there is one.
fn parse_known(
    known: Option<&RawValue>,
    deployment: &Deployment,
) -> Result<Option<Listing>, ListingError> {
    known
        .map(RawValue::get)
        .filter(|known| *known != "null")
        .map(|known| Listing::parse(known.as_bytes(), &Names::of(deployment)))
        .transpose()
}

/// Reads a file of at most [`MAX_FILE_LEN`] bytes.
fn read_bounded(path: &str) -> Result<Vec<u8>, ReadError> {
    let file = fs::File::open(path).map_err(ReadError::Io)?;
    let mut text = Vec::new();
    file.take(MAX_FILE_LEN + 1)
        .read_to_end(&mut text)
        .map_err(ReadError::Io)?;
    if text.len() as u64 > MAX_FILE_LEN {
        return Err(ReadError::TooLarge);
    }
    Ok(text)
}

/// Checks that all names are present and unique: requests refer to classes and tenants by name.
fn check_names(list: &'static str, names: &[String]) -> Result<(), InvalidField> {
    let mut seen = HashSet::new();
    for (position, name) in names.iter().enumerate() {
        if name.is_empty() {
            return Err(InvalidField::NameMissing { list, position });
        }
        if !seen.insert(name) {
            return Err(InvalidField::DuplicateName {
                list,
                position,
                name: name.clone(),
            });
        }
    }
    Ok(())
}

/// The part of the configuration that a reload cannot change.
pub struct FixedConfig {
    name: String,
    listen: SocketAddr,
    sockets: usize,
    peers: UnparsedAddresses,
    deployment: Deployment,
}

impl FixedConfig {
    /// Returns the fixed part of a configuration.
    pub fn of(config: &Config) -> FixedConfig {
        FixedConfig {
            name: config.name.clone(),
            listen: config.listen,
            sockets: config.sockets,
            peers: config.peers.clone(),
            deployment: config.deployment.clone(),
        }
    }

    /// Returns the fixed fields that differ in `config`; they take effect only after a restart.
    pub fn changed_fields(&self, config: &Config) -> Vec<&'static str> {
        let compared = [
            ("name", self.name == config.name),
            ("listen", self.listen == config.listen),
            ("limits.sockets", self.sockets == config.sockets),
            ("peer_listen", self.peers.listen == config.peers.listen),
            ("peers", self.peers.peers == config.peers.peers),
            ("settings", self.deployment == config.deployment),
        ];
        compared
            .into_iter()
            .filter(|(_, same)| !same)
            .map(|(field, _)| field)
            .collect()
    }
}
