//! Which upstreams each class may use.
use crate::interface::Settings;

/// Where a class may go; nothing else is ever a candidate, also as a last resort.
#[derive(Clone, Default)]
pub(crate) struct Pool {
    /// The first so many are of the own zone.
    pub near: usize,
    pub members: Vec<usize>,
}

/// The subset of the listed upstreams that calls go to.
#[derive(Default)]
pub(crate) struct Subset {
    /// The ready upstreams of the subset, for each class.
    pub pools: Vec<Pool>,
    /// Ready upstreams in the whole list.
    pub ready: usize,
    /// The part of what this balancer carries that one upstream of the subset carries.
    pub each: f64,
    /// The most of them that each class uses.
    pub size: usize,
}

impl Subset {
    /// No upstream is known yet.
    pub(crate) fn new(s: &Settings) -> Self {
        Subset {
            pools: vec![Pool::default(); s.classes.len()],
            ready: 0,
            each: 1.0,
            size: 0,
        }
    }
}
