//! What an upstream is wanted for.
use super::Tier;
use crate::interface::{DedupScope, Endpoint, Millis, Settings};

/// A call that wants an upstream.
#[derive(Clone)]
pub(crate) struct PickRequest<'a> {
    pub settings: &'a Settings,
    pub tier: &'a Tier,
    pub now: Millis,
    pub pool: usize,
    /// Calls per millisecond that a warm upstream's worth of cold ones may be sent by this copy.
    pub cold_rate: f64,
    pub avoid: Option<usize>,
    /// It may run again anywhere, and there is time for that.
    pub harmless: bool,
    /// Nothing better is left: ejected, silent and crowded upstreams will do.
    pub desperate: bool,
    /// A repeat of a guarded request: only these may discard it.
    pub scope: Option<(DedupScope, u16, u16)>,
}

impl PickRequest<'_> {
    /// Whether an upstream may discard it, should it be a repeat that ran already.
    pub(crate) fn allows(&self, m: &Endpoint) -> bool {
        match self.scope {
            None | Some((DedupScope::All, ..)) => true,
            Some((DedupScope::Zone, zone, _)) => m.zone == zone,
            Some((DedupScope::Cell, _, group)) => m.group == group,
        }
    }
}
