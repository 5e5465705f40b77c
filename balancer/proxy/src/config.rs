//! The configuration file as typed values. Whatever is wrong with it is named with the field at fault.
use crate::listing::{Listing, Names};
use crate::one_line::one_line;
use crate::peers::Unread;
use balancer_settings::Deployment;
use serde::Deserialize;
use serde_json::value::{RawValue, Value};
use std::collections::HashSet;
use std::fs::File as Input;
use std::io::Read;
use std::net::SocketAddr;

/// Descriptors where the configuration states no limit.
const SOCKETS: usize = 1024;
/// Fewer descriptors than this leave no room for callers and upstreams.
const SOCKETS_LEAST: usize = 64;
/// Largest configuration file read, in bytes. A list of upstreams alone may have 4 MiB.
const FILE_MOST: u64 = 16 << 20;

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

/// All that a balancer is told at its start.
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Feeds the module's random choices.
    pub seed: u64,
    /// Most file descriptors the process may hold.
    pub sockets: usize,
    /// The list of upstreams as this balancer last had it, if there is one.
    pub known: Option<Listing>,
    /// Why the list that the configuration gives can't be used. A balancer starts without it: it may be old, and
    /// discovery has a better one.
    pub known_error: Option<String>,
    /// Where the copies of the tier hear each other, unread.
    pub(crate) peers: Unread,
    /// The settings, for the module and for the sockets.
    pub deployment: Deployment,
}

impl Config {
    /// Reads the file that NODE_CONFIG names.
    pub fn load() -> Result<Config, String> {
        let path = std::env::var("NODE_CONFIG").map_err(|e| format!("NODE_CONFIG: {e}"))?;
        let text =
            read_bounded(&path).map_err(|e| one_line(&format!("NODE_CONFIG: {path}: {e}")))?;
        Config::parse(&text).map_err(|e| format!("{path}: {e}"))
    }

    /// Reads a configuration; what is wrong with it is one line that names the field.
    pub fn parse(json: &[u8]) -> Result<Config, String> {
        Config::read(json).map_err(|error| one_line(&error))
    }

    fn read(json: &[u8]) -> Result<Config, String> {
        let mut json = serde_json::Deserializer::from_slice(json);
        let file: File = serde_path_to_error::deserialize(&mut json).map_err(|e| {
            match e.path().to_string() {
                path if path == "." || path == "?" => e.inner().to_string(),
                path => format!("{path}: {}", e.inner()),
            }
        })?;
        json.end().map_err(|e| e.to_string())?;
        let deployment = balancer_settings::deployment(file.settings.get().as_bytes())
            .map_err(|e| format!("settings: {e}"))?;
        if file.name.chars().any(char::is_control) {
            return Err(format!("name: {:?} has control characters", file.name));
        }
        check_names("classes", &deployment.classes)?;
        check_names("tenants", &deployment.tenants)?;
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed: {:?} is no hexadecimal number of 64 bits", file.seed))?;
        let sockets = file.limits.sockets.unwrap_or(SOCKETS);
        if sockets < SOCKETS_LEAST {
            return Err(format!("limits.sockets: must be at least {SOCKETS_LEAST}"));
        }
        let names = Names::of(&deployment);
        let known = file
            .known
            .as_ref()
            .map(|known| known.get())
            .filter(|known| *known != "null");
        let known = known
            .map(|known| Listing::parse(known.as_bytes(), &names))
            .transpose();
        let (known, known_error) = match known {
            Ok(known) => (known, None),
            Err(error) => (None, Some(one_line(&format!("known: {error}")))),
        };
        let (name, listen, discovery) = (file.name, file.listen, file.discovery);
        let peers = Unread {
            listen: file.peer_listen,
            peers: file.peers,
        };
        Ok(Config {
            name,
            listen,
            discovery,
            seed,
            sockets,
            known,
            known_error,
            peers,
            deployment,
        })
    }
}

/// Reads a file, unless it is far larger than any configuration.
fn read_bounded(path: &str) -> Result<Vec<u8>, String> {
    let file = Input::open(path).map_err(|e| e.to_string())?;
    let mut text = Vec::new();
    file.take(FILE_MOST + 1)
        .read_to_end(&mut text)
        .map_err(|e| e.to_string())?;
    if text.len() as u64 > FILE_MOST {
        return Err(format!("larger than {FILE_MOST} bytes"));
    }
    Ok(text)
}

/// Requests name classes and tenants, so that each needs a name of its own.
fn check_names(list: &str, names: &[String]) -> Result<(), String> {
    let mut seen = HashSet::new();
    for (i, name) in names.iter().enumerate() {
        if name.is_empty() {
            return Err(format!("settings.{list}[{i}].name: missing"));
        }
        if !seen.insert(name) {
            return Err(format!(
                "settings.{list}[{i}].name: {name:?} is there twice"
            ));
        }
    }
    Ok(())
}

/// What a running balancer keeps from its start, whatever a configuration says that is read again.
pub struct Fixed {
    name: String,
    listen: SocketAddr,
    sockets: usize,
    peers: Unread,
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
