//! The parts of a balancer's configuration and of discovery responses that a stand-in reads.
use super::error::StandInError;
use crate::error::FileError;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The configuration, as the platform writes it.
#[derive(Deserialize)]
pub(super) struct Config {
    pub(super) listen: SocketAddr,
    pub(super) discovery: SocketAddr,
    /// A hexadecimal number.
    seed: String,
    /// The balancer's last known list.
    pub(super) known: Listing,
    pub(super) peers_all: SocketAddr,
    pub(super) settings: Settings,
}

#[derive(Deserialize)]
pub(super) struct Settings {
    /// The stand-in's number in its tier.
    pub(super) index: u16,
}

/// A discovery response: the full list, or the changes since a version.
#[derive(Deserialize)]
pub(super) struct Listing {
    pub(super) version: u64,
    pub(super) full: bool,
    pub(super) servers: Vec<Server>,
}

/// An upstream in discovery.
#[derive(Clone, Deserialize)]
pub(super) struct Server {
    pub(super) id: String,
    #[serde(rename = "addr")]
    pub(super) address: SocketAddr,
    pub(super) state: String,
    /// When it started, as Unix time in milliseconds.
    pub(super) started_ms: f64,
}

impl Server {
    pub(super) fn is_active(&self) -> bool {
        self.state == "active"
    }
}

/// The configuration that the environment names, and its seed.
pub(super) struct Loaded {
    pub(super) config: Config,
    pub(super) seed: u64,
}

/// Reads the configuration that the environment names.
pub(super) fn load() -> Result<Loaded, StandInError> {
    let path = std::env::var("NODE_CONFIG").map_err(StandInError::Environment)?;
    let path = PathBuf::from(path);
    let text = std::fs::read(&path).map_err(FileError::at(&path))?;
    let config: Config = match serde_json::from_slice(&text) {
        Ok(config) => config,
        Err(source) => return Err(StandInError::Config { path, source }),
    };
    match u64::from_str_radix(&config.seed, 16) {
        Ok(seed) => Ok(Loaded { config, seed }),
        Err(source) => Err(StandInError::Seed { path, source }),
    }
}
