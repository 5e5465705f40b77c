//! The subset of upstreams that each class uses.
use crate::interface::Settings;

/// Upstreams that a class may use. No other upstream is ever a candidate, not even as a last resort.
#[derive(Clone, Default)]
pub(crate) struct Pool {
    /// Number of members in the local zone, which come first.
    pub local: usize,
    /// Slots of the members.
    pub members: Vec<usize>,
}

/// The subset of the listed upstreams that calls go to.
#[derive(Default)]
pub(crate) struct Subset {
    /// The ready upstreams of the subset, for each class.
    pub pools: Vec<Pool>,
    /// Ready upstreams in the full list.
    pub ready: usize,
    /// Fraction of this balancer's calls that one upstream of the subset gets.
    pub load_per_member: f64,
    /// Maximum number of upstreams per class and side, local or remote.
    pub max_members: usize,
}

impl Subset {
    /// Initial state, without upstreams.
    pub(crate) fn new(settings: &Settings) -> Self {
        Subset {
            pools: vec![Pool::default(); settings.classes.len()],
            ready: 0,
            load_per_member: 1.0,
            max_members: 0,
        }
    }
}
