//! Loss rates of calls on idle connections.

/// Number of idle-time steps; step zero means a new connection.
pub(crate) const IDLE_STEPS: usize = 10;

/// Loss rates by idle time.
#[derive(Default)]
pub(crate) struct IdleConnections {
    /// Fraction of calls without a response, by idle-time step of their connection.
    pub loss_rates: [f64; IDLE_STEPS],
}
