//! Demand and limit of a tenant.

/// A tenant's demand and limit, in requests per cycle.
#[derive(Default)]
pub(crate) struct TenantState {
    /// Share relative to the other tenants.
    pub weight: f64,
    /// Whether it has made a request.
    pub seen: bool,
    /// Requests in this cycle, including refused ones.
    pub cycle_requests: f64,
    /// Smoothed requests per cycle.
    pub demand: f64,
    /// Requests admitted in this cycle, less the unused limit of earlier cycles.
    pub admitted: f64,
    pub limit: f64,
}
