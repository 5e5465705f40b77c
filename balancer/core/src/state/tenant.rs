//! What is known of a tenant in this cycle.

/// A tenant's demand and limit, in requests per cycle.
#[derive(Default)]
pub(crate) struct TenantState {
    /// Quota share relative to the other tenants'.
    pub weight: f64,
    /// Whether it ever made a request.
    pub seen: bool,
    /// Requests this cycle, refused ones too.
    pub cycle_requests: f64,
    /// Smoothed requests per cycle.
    pub demand: f64,
    /// Admitted this cycle, less what was saved up in earlier ones.
    pub admitted: f64,
    pub limit: f64,
}
