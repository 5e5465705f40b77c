//! The endpoint list in discovery's form, and the interface between the watch and the user of the list. Owns no state.
use crate::json::{self, JsonError};
use crate::one_line::one_line;
use balancer_core::{Availability, Endpoint, UpstreamId};
use balancer_settings::Deployment;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// State of an upstream that was removed, on the wire.
const REMOVED_STATE: &str = "left";
/// Start times are below this, in milliseconds since 1970.
const MAX_START_MS: f64 = 1e15;

/// Names of zones and kinds, by the position that the module knows them by.
pub struct Names {
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl Names {
    /// The names that the settings list.
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

/// An entry in discovery's form.
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

/// One upstream of a response: its endpoint for the module and its address.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name in discovery.
    pub name: String,
    /// The endpoint as the module sees it.
    pub endpoint: Endpoint,
    /// Where it listens, as this balancer sees it.
    pub addr: SocketAddr,
}

/// A response of discovery.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Grows with each change.
    pub version: u64,
    /// Whether this is the full list, or only what changed.
    pub full: bool,
    /// The upstreams.
    pub entries: Vec<Entry>,
    /// The same as they came.
    raw: Vec<RawEntry>,
}

/// Why a response of discovery cannot be used: one line of bounded length that names the field.
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

/// What is wrong with an entry; begins with the field at fault.
#[derive(Debug, thiserror::Error)]
enum InvalidEntry {
    #[error("state: unknown state {state:?} of upstream {id:?}")]
    State { state: String, id: String },
    #[error("id: missing")]
    NoId,
    #[error("started_ms: reads {started_ms} at upstream {id:?}")]
    StartTime { started_ms: f64, id: String },
}

impl Listing {
    /// Reads a response. One invalid entry spoils it completely, so that a garbled list never replaces a good one.
    ///
    /// # Errors
    /// Names the field at fault.
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
        // A name that the settings do not list gets a position that no class is bound to.
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

/// A stable id for an upstream's name, the same at every balancer (FNV-1a): the module spreads the balancers
/// over the upstreams by a ring of these ids, so numbers given in order of arrival would crowd some of them.
fn upstream_id(name: &str) -> UpstreamId {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    UpstreamId(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}

/// The current full list in discovery's form, to be saved.
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

    /// Applies a response of discovery. What was removed is not saved.
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

    /// Returns the list as discovery would write it.
    pub(crate) fn to_json(&self) -> String {
        let servers = self.entries.values().cloned().collect();
        // Names and finite numbers only: all of it can be written as JSON.
        serde_json::to_string(&RawListing {
            version: self.version,
            full: true,
            servers,
        })
        .unwrap_or_default()
    }
}

/// The user of the list: subscribes to it, and is notified of updates and failures.
pub(crate) trait ListUser {
    /// Waits until a subscription is wanted.
    async fn subscribed(&self);
    /// Handles a response of discovery.
    fn handle_list(&self, listing: &Listing);
    /// Handles a failed call or a broken watch.
    fn handle_list_failure(&self);
}
