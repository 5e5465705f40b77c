//! How often calls are lost on connections that rested.

/// Steps of how long a connection may have rested.
pub(crate) const REST_STEPS: usize = 10;

/// Losses on rested connections.
#[derive(Default)]
pub(crate) struct Rested {
    /// The part of calls that got no answer, by how long the connection may have rested (first: not at all).
    pub lost: [f64; REST_STEPS],
}
