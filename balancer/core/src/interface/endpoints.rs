//! The endpoint list and its updates.
use super::{Class, Millis, UpstreamId};

/// Whether an upstream accepts new calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Availability {
    /// Accepts new calls.
    #[default]
    Ready,
    /// Completes its calls in flight; no new call may be sent.
    Draining,
    /// No longer in service.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// Identifier of the upstream.
    pub id: UpstreamId,
    /// Zone in which it runs.
    pub zone: u16,
    /// Machine type.
    pub kind: u8,
    /// Group of upstreams that share their deduplication keys.
    pub group: u16,
    /// Whether it accepts new calls.
    pub availability: Availability,
    /// When its process last started; zero if long ago.
    pub since: Millis,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The full list; upstreams missing from it are removed.
    Full(Vec<Endpoint>),
    /// The full list as this instance last received it; may be outdated.
    Cached(Vec<Endpoint>),
    /// Changed entries only.
    Delta(Vec<Endpoint>),
    /// Fetching the list failed or the subscription was interrupted; the last list remains valid.
    Failed,
}

/// Which upstreams a list contains.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListKind {
    /// All upstreams.
    Full,
    /// Changed upstreams only.
    Delta,
}

impl Class {
    /// Whether placement constraints allow requests of this class at the upstream.
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
    /// The endpoints in the update and whether they are the full list; `None` if there was no list.
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
