//! Which upstreams each class may use.
use crate::interface::Settings;

/// Where a class may go; nothing else is ever a candidate, also as a last resort.
#[derive(Clone, Default)]
pub(crate) struct Pool {
    /// The first so many members are of the local zone.
    pub local: usize,
    /// Slots.
    pub members: Vec<usize>,
}

/// The subset of the listed upstreams that calls go to.
#[derive(Default)]
pub(crate) struct Subset {
    /// The ready upstreams of the subset, for each class.
    pub pools: Vec<Pool>,
    /// Ready upstreams in the full list.
    pub ready: usize,
    /// The part of what this balancer carries that one upstream of the subset carries.
    pub load_per_member: f64,
    /// The most upstreams that each class uses.
    pub max_members: usize,
}

impl Subset {
    /// No upstream is known yet.
    pub(crate) fn new(settings: &Settings) -> Self {
        Subset {
            pools: vec![Pool::default(); settings.classes.len()],
            ready: 0,
            load_per_member: 1.0,
            max_members: 0,
        }
    }
}
