//! The versioned list of upstreams that an agent serves, and its wire format.
use super::entry::{Entry, Start, State};
use crate::draw::Plan;
use crate::world::World;
use serde::Serialize;
use std::collections::BTreeMap;

/// An upstream in the wire format of discovery.
#[derive(Serialize)]
struct ServerLine {
    id: String,
    addr: String,
    zone: String,
    kind: String,
    cell: u16,
    state: State,
    weight: f64,
    started_ms: f64,
}

/// A response in the wire format of discovery.
#[derive(Serialize)]
struct ListingBody {
    version: u64,
    full: bool,
    servers: Vec<ServerLine>,
}

/// A response, and the entries that it contains.
pub(super) struct Listing {
    pub(super) entries: Vec<Entry>,
    pub(super) text: String,
}

/// Whether a response shows the current list or the list from the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Freshness {
    Current,
    Stale,
}

struct Versioned {
    entry: Entry,
    /// The version of the list that last changed the entry.
    version: u64,
}

/// The upstreams of one tier, as known to one agent.
pub(super) struct UpstreamList {
    version: u64,
    by_id: BTreeMap<String, Versioned>,
    /// The number of the last change applied for each id.
    applied: BTreeMap<String, u64>,
}

impl UpstreamList {
    /// The version of the list before any change.
    pub(super) const FIRST_VERSION: u64 = 1;

    /// Lists all upstreams of a tier as active since before the run.
    pub(super) fn of_tier(tier: usize, plan: &Plan) -> UpstreamList {
        let of_tier = |(_, upstream): &(usize, &crate::draw::Upstream)| upstream.tier == tier;
        let versioned = |(index, upstream): (usize, &crate::draw::Upstream)| {
            let entry = Entry {
                upstream: index,
                id: upstream.name.clone(),
                state: State::Active,
                start: Start::BEFORE_RUN,
            };
            let version = UpstreamList::FIRST_VERSION;
            (upstream.name.clone(), Versioned { entry, version })
        };
        let upstreams = plan.upstreams.iter().enumerate();
        UpstreamList {
            version: UpstreamList::FIRST_VERSION,
            by_id: upstreams.filter(of_tier).map(versioned).collect(),
            applied: BTreeMap::new(),
        }
    }

    /// Applies the `change`-th change of an upstream, and returns the new version of the list; `None` if a later change
    /// was applied before.
    pub(super) fn apply(&mut self, entry: Entry, change: u64) -> Option<u64> {
        let last = self.applied.entry(entry.id.clone()).or_default();
        if *last >= change {
            return None;
        }
        *last = change;
        self.version += 1;
        let version = self.version;
        self.by_id
            .insert(entry.id.clone(), Versioned { entry, version });
        Some(version)
    }

    /// Returns the changes since a version; the full list without removed upstreams if `since` is `None` or is higher
    /// than the version of this list.
    pub(super) fn listing(
        &self,
        world: &World,
        balancer: usize,
        since: Option<u64>,
        freshness: Freshness,
    ) -> Listing {
        // A higher version comes from another discovery service; only the full list brings the balancer up to date.
        let since = since.filter(|&version| version <= self.version);
        let is_listed = |versioned: &&Versioned| match since {
            Some(since) => versioned.version > since,
            None => versioned.entry.state != State::Removed,
        };
        let listed = self.by_id.values().filter(is_listed);
        let entries: Vec<Entry> = listed.map(|versioned| versioned.entry.clone()).collect();
        let version = match freshness {
            Freshness::Current => self.version,
            Freshness::Stale => UpstreamList::FIRST_VERSION,
        };
        let line = |entry: &Entry| server_line(world, balancer, entry, freshness);
        let body = ListingBody {
            version,
            full: since.is_none(),
            servers: entries.iter().map(line).collect(),
        };
        // Serialization can't fail: the body has only strings, numbers and booleans.
        let text = serde_json::to_string(&body).unwrap_or_default();
        Listing { entries, text }
    }
}

fn server_line(world: &World, balancer: usize, entry: &Entry, freshness: Freshness) -> ServerLine {
    let upstream = &world.plan.upstreams[entry.upstream];
    let address = world.block.upstream(entry.upstream, balancer);
    let started = |at| world.clock.unix(at).floor();
    ServerLine {
        id: entry.id.clone(),
        addr: address.to_string(),
        zone: world.experiment.fleet.zones[upstream.zone].clone(),
        kind: world.experiment.tiers[upstream.tier].kinds[upstream.kind]
            .name
            .clone(),
        cell: upstream.cell,
        state: match freshness {
            Freshness::Current => entry.state,
            Freshness::Stale => State::Active,
        },
        weight: 1.0,
        started_ms: entry.start.at.map_or(0.0, started),
    }
}
