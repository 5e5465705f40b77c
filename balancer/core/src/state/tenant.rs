//! What is known of a tenant in this cycle.

/// A tenant's demand and limit, in calls per cycle.
#[derive(Default)]
pub(crate) struct TenantState {
    pub weight: f64,
    pub seen: bool,
    /// Attempts this cycle, refused ones too; and their smoothed number per cycle.
    pub count: f64,
    pub demand: f64,
    /// Admitted this cycle, less what was saved up in earlier ones.
    pub admitted: f64,
    pub limit: f64,
}
