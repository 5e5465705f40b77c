//! The list of upstreams in discovery's form, and what whoever keeps the list fresh tells of it.
use crate::one_line::one_line;
use balancer_core::{Availability, Endpoint, UpstreamId};
use balancer_settings::Deployment;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Names of zones and kinds, by the position that the module knows them by.
pub struct Names {
    zones: Vec<String>,
    kinds: Vec<String>,
}

impl Names {
    /// The names that the settings list.
    pub fn of(d: &Deployment) -> Names {
        Names {
            zones: d.zones.clone(),
            kinds: d.kinds.clone(),
        }
    }
}

#[derive(Deserialize, Serialize)]
struct RawListing {
    version: u64,
    full: bool,
    servers: Vec<RawEntry>,
}

/// An entry as discovery words it.
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

/// One upstream of an answer: its line for the module and its address.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name in discovery.
    pub name: String,
    /// What the module is told.
    pub member: Endpoint,
    /// Where it listens, as this balancer sees it.
    pub addr: SocketAddr,
}

/// An answer of discovery.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Grows with each change.
    pub version: u64,
    /// Whether this is the whole list, or only what changed.
    pub full: bool,
    /// The upstreams.
    pub entries: Vec<Entry>,
    /// The same as they came.
    raw: Vec<RawEntry>,
}

impl Listing {
    /// Reads an answer. One bad entry spoils it whole, so that a garbled list never replaces a good one.
    /// What is wrong is one line that names the field.
    pub fn parse(json: &[u8], names: &Names) -> Result<Listing, String> {
        Listing::read(json, names).map_err(|error| one_line(&error))
    }

    fn read(json: &[u8], names: &Names) -> Result<Listing, String> {
        let mut json = serde_json::Deserializer::from_slice(json);
        let raw: RawListing = serde_path_to_error::deserialize(&mut json).map_err(|e| {
            match e.path().to_string() {
                path if path == "." || path == "?" => e.inner().to_string(),
                path => format!("{path}: {}", e.inner()),
            }
        })?;
        json.end().map_err(|e| e.to_string())?;
        let entries = raw.servers.iter().cloned().enumerate();
        let entries =
            entries.map(|(i, e)| entry(e, names).map_err(|what| format!("servers[{i}].{what}")));
        let entries = entries.collect::<Result<_, _>>()?;
        Ok(Listing {
            version: raw.version,
            full: raw.full,
            entries,
            raw: raw.servers,
        })
    }

    /// The lines for the module.
    pub fn members(&self) -> impl Iterator<Item = Endpoint> + '_ {
        self.entries.iter().map(|e| e.member.clone())
    }
}

/// Reads an entry; the message begins with the field at fault.
fn entry(e: RawEntry, names: &Names) -> Result<Entry, String> {
    let availability = match e.state.as_str() {
        "active" => Availability::Ready,
        "leaving" => Availability::Draining,
        "left" => Availability::Removed,
        other => {
            return Err(format!(
                "state: unknown state {other:?} of upstream {:?}",
                e.id
            ))
        }
    };
    if e.id.is_empty() {
        return Err("id: missing".into());
    }
    if !(0.0..1e15).contains(&e.started_ms) {
        return Err(format!(
            "started_ms: reads {} at upstream {:?}",
            e.started_ms, e.id
        ));
    }
    // A name that the settings do not list gets a position that no class is bound to.
    let zone = names
        .zones
        .iter()
        .position(|z| *z == e.zone)
        .map_or(u16::MAX, |i| i as u16);
    let kind = names
        .kinds
        .iter()
        .position(|k| *k == e.kind)
        .map_or(u8::MAX, |i| i as u8);
    let (id, group, since) = (upstream_id(&e.id), e.cell, e.started_ms);
    Ok(Entry {
        name: e.id,
        member: Endpoint {
            id,
            zone,
            kind,
            group,
            availability,
            since,
        },
        addr: e.addr,
    })
}

/// A stable id for an upstream's name, the same at every balancer (FNV-1a): the module spreads the balancers
/// over the upstreams by a ring of these ids, so numbers given in order of arrival would crowd some of them.
fn upstream_id(name: &str) -> UpstreamId {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    UpstreamId(name.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}

/// The whole list as it stands, in discovery's form, to be kept.
#[derive(Default)]
pub(crate) struct Roster {
    version: u64,
    entries: BTreeMap<String, RawEntry>,
}

impl Roster {
    /// Takes an answer of discovery. What is gone is not kept.
    pub(crate) fn apply(&mut self, listing: &Listing) {
        self.version = listing.version;
        if listing.full {
            self.entries.clear();
        }
        for raw in &listing.raw {
            match raw.state.as_str() {
                "left" => self.entries.remove(&raw.id),
                _ => self.entries.insert(raw.id.clone(), raw.clone()),
            };
        }
    }

    /// It as text, as discovery would write it.
    pub(crate) fn text(&self) -> String {
        let servers = self.entries.values().cloned().collect();
        // Names and finite numbers only: there is nothing in it that JSON can't hold.
        serde_json::to_string(&RawListing {
            version: self.version,
            full: true,
            servers,
        })
        .unwrap_or_default()
    }
}

/// Who uses the list: asks for it, and is told what came of that.
pub(crate) trait ListUser {
    /// Waits until a subscription is wanted.
    async fn subscribed(&self);
    /// Takes an answer of discovery.
    fn listed(&self, listing: &Listing);
    /// A call for the list failed or the watch broke.
    fn list_failed(&self);
}
