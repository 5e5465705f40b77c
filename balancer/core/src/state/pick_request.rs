//! Input for picking an upstream.
use super::Tier;
use crate::interface::{DedupScope, Endpoint, Millis, Settings};

/// Upstreams that discard a duplicate of a guarded request that may have run.
#[derive(Clone, Copy)]
pub(crate) struct DedupDomain {
    pub scope: DedupScope,
    /// Zone of the attempt that may have run.
    pub zone: u16,
    /// Group of the attempt that may have run.
    pub group: u16,
}

/// A call that needs an upstream.
#[derive(Clone)]
pub(crate) struct PickRequest<'a> {
    pub settings: &'a Settings,
    pub tier: &'a Tier,
    pub now: Millis,
    /// Index of the class and of its pool in the subset.
    pub class: usize,
    /// Calls per millisecond that this instance may send to an upstream in slow start, to be multiplied by its weight.
    pub slow_start_rate: f64,
    /// Slot of an upstream that must not be picked.
    pub avoid: Option<usize>,
    /// Whether the call is safe to retry anywhere and has time for it, so that it may test an ejected zone.
    pub may_test_zone: bool,
    /// Whether ejected, unresponsive and overloaded upstreams may be picked, for lack of others.
    pub last_resort: bool,
    /// Set for a retry of a guarded request that may have run.
    pub dedup: Option<DedupDomain>,
}

impl PickRequest<'_> {
    /// Whether the upstream would discard the request as a duplicate if it ran already.
    pub(crate) fn allows(&self, endpoint: &Endpoint) -> bool {
        self.dedup.is_none_or(|domain| match domain.scope {
            DedupScope::All => true,
            DedupScope::Zone => endpoint.zone == domain.zone,
            DedupScope::Cell => endpoint.group == domain.group,
        })
    }
}
