//! State of admission control: requests of this cycle by tenant, and calls in flight.
use super::TenantState;
use crate::interface::{Millis, Settings, Tenant};

/// State of admission control.
#[derive(Default)]
pub(crate) struct Admission {
    pub tenants: Vec<TenantState>,
    /// Level of a leaky bucket: rises with each admitted request and drains at the rate of the capacity. Never negative.
    pub bucket_level: f64,
    pub cycle_start: Millis,
    /// Requests admitted this cycle.
    pub cycle_admitted: f64,
    /// Calls in flight.
    pub in_flight: f64,
    /// Calls in flight that count as lost.
    pub in_flight_lost: f64,
    /// Whether requests within their limits were refused this cycle.
    pub refused_within_limit: bool,
}

impl Admission {
    /// Initial state, without requests.
    pub(crate) fn new(settings: &Settings, now: Millis) -> Self {
        let single_tenant = vec![Tenant {
            share: 1.0,
            quota_per_s: 0.0,
        }];
        let listed = if settings.tenants.is_empty() {
            &single_tenant
        } else {
            &settings.tenants
        };
        let with_weight = |weight| TenantState {
            weight,
            ..TenantState::default()
        };
        let mut tenants: Vec<TenantState> = listed
            .iter()
            .map(|tenant| with_weight(tenant.share))
            .collect();
        // One additional entry, shared by all tenants that the settings do not list.
        let smallest_share = listed
            .iter()
            .map(|tenant| tenant.share)
            .fold(f64::INFINITY, f64::min);
        tenants.push(with_weight(smallest_share));
        Admission {
            tenants,
            cycle_start: now,
            ..Admission::default()
        }
    }

    /// Requests per cycle over all tenants.
    pub(crate) fn total_demand(&self) -> f64 {
        self.tenants.iter().map(|tenant| tenant.demand).sum()
    }
}
