//! The configuration file as typed values. Whatever is wrong with it is named with the field at fault.
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

/// Descriptors where the configuration states no limit.
const DEFAULT_SOCKETS: usize = 1024;
/// Fewer descriptors than this leave no capacity for clients and upstreams.
const MIN_SOCKETS: usize = 64;
/// Largest configuration file read, in bytes. A list of upstreams alone may have 4 MiB.
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

/// The configuration of a balancer at its start.
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Feeds the module's random choices.
    pub seed: u64,
    /// Maximum of file descriptors that the process may open.
    pub sockets: usize,
    /// The list of upstreams as this balancer last had it, if there is one.
    pub known: Option<Listing>,
    /// Why the list that the configuration gives can't be used. A balancer starts without it: it may be old, and
    /// discovery has a better one.
    pub known_error: Option<String>,
    /// Addresses of the tier's replicas, not parsed yet.
    pub(crate) peers: UnparsedAddresses,
    /// The settings, for the module and for the sockets.
    pub deployment: Deployment,
}

/// Why the configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No file is named.
    #[error("NODE_CONFIG: {0}")]
    Variable(#[source] VarError),
    /// The file cannot be read.
    #[error("{}", one_line(&format!("NODE_CONFIG: {path}: {cause}")))]
    Read {
        /// The file.
        path: String,
        /// Why.
        #[source]
        cause: ReadError,
    },
    /// The file is not a configuration.
    #[error("{path}: {cause}")]
    Invalid {
        /// The file.
        path: String,
        /// Why.
        #[source]
        cause: InvalidConfig,
    },
}

/// Why a file cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The system does not let it be read.
    #[error("{0}")]
    Io(#[source] io::Error),
    /// It is far larger than any configuration.
    #[error("larger than {MAX_FILE_LEN} bytes")]
    TooLarge,
}

/// What is wrong with a configuration: one line of bounded length that names the field.
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
    #[error("settings.{list}[{position}].name: {name:?} is there twice")]
    NameTwice {
        list: &'static str,
        position: usize,
        name: String,
    },
    #[error("seed: {0:?} is no hexadecimal number of 64 bits")]
    Seed(String),
    #[error("limits.sockets: must be at least {MIN_SOCKETS}")]
    Sockets,
}

impl Config {
    /// Reads the file that NODE_CONFIG names.
    ///
    /// # Errors
    /// Says why the file cannot be read, or names the field at fault.
    pub fn load() -> Result<Config, ConfigError> {
        let path = std::env::var("NODE_CONFIG").map_err(ConfigError::Variable)?;
        let text = match read_bounded(&path) {
            Ok(text) => text,
            Err(cause) => return Err(ConfigError::Read { path, cause }),
        };
        Config::parse(&text).map_err(|cause| ConfigError::Invalid { path, cause })
    }

    /// Reads a configuration.
    ///
    /// # Errors
    /// Names the field at fault.
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

/// Reads the list of upstreams that the configuration gives, if it gives one.
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

/// Reads a file, unless it is far larger than any configuration.
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

/// Checks that each class and tenant has a name of its own, as requests name them.
fn check_names(list: &'static str, names: &[String]) -> Result<(), InvalidField> {
    let mut seen = HashSet::new();
    for (position, name) in names.iter().enumerate() {
        if name.is_empty() {
            return Err(InvalidField::NameMissing { list, position });
        }
        if !seen.insert(name) {
            return Err(InvalidField::NameTwice {
                list,
                position,
                name: name.clone(),
            });
        }
    }
    Ok(())
}

/// What stays as it was at the start, whatever a configuration says that is read again.
pub struct Fixed {
    name: String,
    listen: SocketAddr,
    sockets: usize,
    peers: UnparsedAddresses,
    deployment: Deployment,
}

impl Fixed {
    /// What this configuration fixes.
    pub fn of(config: &Config) -> Fixed {
        Fixed {
            name: config.name.clone(),
            listen: config.listen,
            sockets: config.sockets,
            peers: config.peers.clone(),
            deployment: config.deployment.clone(),
        }
    }

    /// The fields in which a configuration differs that only another start can take over.
    pub fn differing(&self, config: &Config) -> Vec<&'static str> {
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
