//! The endpoint list and its updates.
use super::{Class, Millis, UpstreamId};

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// Takes new work.
    #[default]
    Ready,
    /// Completes its calls in flight; nothing new may be sent.
    Draining,
    /// Removed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Identity of the upstream.
    pub id: UpstreamId,
    /// Its zone.
    pub zone: u16,
    /// Its machine kind.
    pub kind: u8,
    /// The group whose members share the keys they have seen.
    pub group: u16,
    /// Whether it takes new work.
    pub availability: Availability,
    /// When its process last started; zero: long ago.
    pub since: Millis,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The full list; upstreams that it lacks are removed.
    Full(Vec<Endpoint>),
    /// The full list as this instance last had it, perhaps outdated.
    Cached(Vec<Endpoint>),
    /// Only what changed.
    Delta(Vec<Endpoint>),
    /// A call for the list failed or the subscription broke; the last list remains valid.
    Failed,
}

/// Which upstreams a list names.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListKind {
    /// All that there are.
    Full,
    /// Those that changed.
    Delta,
}

impl Class {
    /// Whether it may be sent to this upstream at all.
    pub fn admits(&self, endpoint: &Endpoint) -> bool {
        let zone_allowed = self
            .zones
            .as_ref()
            .is_none_or(|zones| zones.contains(&endpoint.zone));
        let kind_allowed = self
            .kinds
            .as_ref()
            .is_none_or(|kinds| kinds.contains(&endpoint.kind));
        zone_allowed && kind_allowed
    }
}

impl EndpointUpdate {
    /// The upstreams that it names, and which these are; none when there was no list.
    pub(crate) fn into_endpoints(self) -> Option<(Vec<Endpoint>, ListKind)> {
        match self {
            EndpointUpdate::Full(endpoints) | EndpointUpdate::Cached(endpoints) => {
                Some((endpoints, ListKind::Full))
            }
            EndpointUpdate::Delta(endpoints) => Some((endpoints, ListKind::Delta)),
            EndpointUpdate::Failed => None,
        }
    }
}
