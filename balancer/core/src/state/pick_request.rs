//! What an upstream is picked for.
use super::Tier;
use crate::interface::{DedupScope, Endpoint, Millis, Settings};

/// Where a repeat of a guarded request is discarded, should the request have run already.
#[derive(Clone, Copy)]
pub(crate) struct DedupDomain {
    pub scope: DedupScope,
    /// Zone of the attempt that may have run.
    pub zone: u16,
    /// Group of the attempt that may have run.
    pub group: u16,
}

/// A call that an upstream is to be picked for.
#[derive(Clone)]
pub(crate) struct PickRequest<'a> {
    pub settings: &'a Settings,
    pub tier: &'a Tier,
    pub now: Millis,
    /// Position of the class, and of its pool in the subset.
    pub class: usize,
    /// Calls per millisecond that this instance may send to upstreams in slow start, for each that their weights add
    /// up to.
    pub slow_start_rate: f64,
    /// Slot of an upstream that is not to be picked.
    pub avoid: Option<usize>,
    /// It may run again anywhere, and there is time for that.
    pub harmless: bool,
    /// Nothing better is left: ejected, unresponsive and overloaded upstreams will do.
    pub last_resort: bool,
    /// Set for a repeat of a guarded request.
    pub dedup: Option<DedupDomain>,
}

impl PickRequest<'_> {
    /// Whether the upstream would discard the request, should it be a repeat that ran already.
    pub(crate) fn allows(&self, endpoint: &Endpoint) -> bool {
        self.dedup.is_none_or(|domain| match domain.scope {
            DedupScope::All => true,
            DedupScope::Zone => endpoint.zone == domain.zone,
            DedupScope::Cell => endpoint.group == domain.group,
        })
    }
}
