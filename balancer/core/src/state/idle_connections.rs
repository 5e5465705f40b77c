//! How often calls are lost on connections that were idle.

/// Steps of how long a connection may have been idle; the first: not at all.
pub(crate) const IDLE_STEPS: usize = 10;

/// Losses on connections that were idle.
#[derive(Default)]
pub(crate) struct IdleConnections {
    /// The part of calls that got no response, by step of how long the connection may have been idle.
    pub loss_rates: [f64; IDLE_STEPS],
}
