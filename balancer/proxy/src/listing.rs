//! The endpoint list in discovery's format, and the interface between the watch and the list's user. Owns no state.
use crate::json::{self, JsonError};
use crate::one_line::one_line;
use balancer_core::{Availability, Endpoint, UpstreamId};
use balancer_settings::Deployment;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The state of a removed upstream in the wire format.
const REMOVED_STATE: &str = "left";
/// Exclusive upper bound of start times, in milliseconds since the Unix epoch.
const MAX_START_MS: f64 = 1e15;

/// The names of zones and kinds. The module refers to them by position.
pub struct Names {
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl Names {
    /// Returns the names listed in the settings.
    pub fn of(deployment: &Deployment) -> Names {
        Names {
            zones: deployment.zones.clone(),
            kinds: deployment.kinds.clone(),
        }
    }
}

#[derive(Deserialize, Serialize)]
struct RawListing {
    version: u64,
    full: bool,
    servers: Vec<RawEntry>,
}

/// An entry in discovery's format.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct RawEntry {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u16,
    state: String,
    #[serde(default)]
    started_ms: f64,
}

/// An upstream in a response: its endpoint for the module, and its address.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The name of the upstream in discovery.
    pub name: String,
    /// The endpoint as the module sees it.
    pub endpoint: Endpoint,
    /// The address of the upstream as seen from this balancer.
    pub addr: SocketAddr,
}

/// A response from discovery.
#[derive(Clone, Debug)]
pub struct Listing {
    /// The version of the list; increases with each change.
    pub version: u64,
    /// Whether this is the full list, or only what changed.
    pub full: bool,
    /// The upstreams.
    pub entries: Vec<Entry>,
    /// The upstreams in discovery's format.
    raw: Vec<RawEntry>,
}

/// Why a response from discovery is unusable: one line of bounded length that names the invalid field.
#[derive(Debug, thiserror::Error)]
#[error("{}", one_line(&.0.to_string()))]
pub struct ListingError(#[source] InvalidListing);

#[derive(Debug, thiserror::Error)]
enum InvalidListing {
    #[error(transparent)]
    Json(#[from] JsonError),
    #[error("servers[{position}].{cause}")]
    Entry {
        position: usize,
        #[source]
        cause: InvalidEntry,
    },
}

/// Why an entry is invalid. The text begins with the name of the invalid field.
#[derive(Debug, thiserror::Error)]
enum InvalidEntry {
    #[error("state: unknown state {state:?} of upstream {id:?}")]
    State { state: String, id: String },
    #[error("id: missing")]
    NoId,
    #[error("started_ms: {started_ms} is out of range for upstream {id:?}")]
    StartTime { started_ms: f64, id: String },
}

impl Listing {
    /// Parses a response. One invalid entry invalidates the whole response, so that a corrupt list never replaces a
    /// valid one.
    ///
    /// # Errors
    /// Names the invalid field.
    pub fn parse(json: &[u8], names: &Names) -> Result<Listing, ListingError> {
        Listing::read(json, names).map_err(ListingError)
    }

    fn read(json: &[u8], names: &Names) -> Result<Listing, InvalidListing> {
        let raw: RawListing = json::parse(json)?;
        let mut entries = Vec::with_capacity(raw.servers.len());
        for (position, server) in raw.servers.iter().enumerate() {
            let entry = parse_entry(server.clone(), names);
            entries.push(entry.map_err(|cause| InvalidListing::Entry { position, cause })?);
        }
        Ok(Listing {
            version: raw.version,
            full: raw.full,
            entries,
            raw: raw.servers,
        })
    }

    /// Returns the endpoints for the module.
    pub fn endpoints(&self) -> impl Iterator<Item = Endpoint> + '_ {
        self.entries.iter().map(|entry| entry.endpoint.clone())
    }
}

fn parse_entry(raw: RawEntry, names: &Names) -> Result<Entry, InvalidEntry> {
    let availability = match raw.state.as_str() {
        "active" => Availability::Ready,
        "leaving" => Availability::Draining,
        REMOVED_STATE => Availability::Removed,
        _ => {
            return Err(InvalidEntry::State {
                state: raw.state,
                id: raw.id,
            })
        }
    };
    if raw.id.is_empty() {
        return Err(InvalidEntry::NoId);
    }
    if !(0.0..MAX_START_MS).contains(&raw.started_ms) {
        return Err(InvalidEntry::StartTime {
            started_ms: raw.started_ms,
            id: raw.id,
        });
    }
    let endpoint = Endpoint {
        id: upstream_id(&raw.id),
        // A name that is not in the settings gets a position that no class refers to.
        zone: position(&names.zones, &raw.zone).map_or(u16::MAX, |i| i as u16),
        kind: position(&names.kinds, &raw.kind).map_or(u8::MAX, |i| i as u8),
        group: raw.cell,
        availability,
        since: raw.started_ms,
    };
    Ok(Entry {
        name: raw.id,
        endpoint,
        addr: raw.addr,
    })
}

fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|listed| listed == name)
}

/// Returns a stable id for an upstream name, the same at every balancer (FNV-1a hash). The module assigns balancers to
/// upstreams by a hash ring of these ids; sequential numbers would load some upstreams more than others.
fn upstream_id(name: &str) -> UpstreamId {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    UpstreamId(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}

/// The current full list in discovery's format, for saving.
#[derive(Default)]
pub(crate) struct ListSnapshot {
    version: u64,
    entries: BTreeMap<String, RawEntry>,
}

impl ListSnapshot {
    /// Creates a snapshot of a list, or an empty one.
    pub(crate) fn of(listing: Option<&Listing>) -> ListSnapshot {
        let mut snapshot = ListSnapshot::default();
        if let Some(listing) = listing {
            snapshot.apply(listing);
        }
        snapshot
    }

    /// Applies a response from discovery. Removed upstreams are not saved.
    pub(crate) fn apply(&mut self, listing: &Listing) {
        self.version = listing.version;
        if listing.full {
            self.entries.clear();
        }
        for raw in &listing.raw {
            match raw.state.as_str() {
                REMOVED_STATE => self.entries.remove(&raw.id),
                _ => self.entries.insert(raw.id.clone(), raw.clone()),
            };
        }
    }

    /// Returns the list as JSON in discovery's format.
    pub(crate) fn to_json(&self) -> String {
        let servers = self.entries.values().cloned().collect();
        // Cannot fail: the list holds only strings and finite numbers.
        serde_json::to_string(&RawListing {
            version: self.version,
            full: true,
            servers,
        })
        .unwrap_or_default()
    }
}

/// The user of the list: subscribes to it and is notified of updates and failures.
pub(crate) trait ListUser {
    /// Waits until the user subscribes.
    async fn subscribed(&self);
    /// Handles a response from discovery.
    fn handle_list(&self, listing: &Listing);
    /// Handles a failed call or a broken watch.
    fn handle_list_failure(&self);
}
