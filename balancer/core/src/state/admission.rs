//! What tenants asked for and got this cycle, and the calls in flight.
use super::TenantState;
use crate::interface::{Millis, Settings, Tenant};

/// The tenants' limits within the next tier's capacity.
#[derive(Default)]
pub(crate) struct Admission {
    pub tenants: Vec<TenantState>,
    /// This cycle: admitted less what was saved up, when it began, and admitted.
    pub admitted: f64,
    pub cycle_start: Millis,
    pub cycle_admitted: f64,
    /// Calls in flight; those of them that are lost.
    pub inflight: f64,
    pub lost: f64,
    /// Whether calls within their limits were refused this cycle.
    pub crowded: bool,
}

impl Admission {
    /// Nobody asked for anything yet.
    pub(crate) fn new(s: &Settings, now: Millis) -> Self {
        let none = vec![Tenant {
            share: 1.0,
            quota_per_s: 0.0,
        }];
        let listed = if s.tenants.is_empty() {
            &none
        } else {
            &s.tenants
        };
        let fresh = |weight| TenantState {
            weight,
            ..TenantState::default()
        };
        let mut tenants: Vec<TenantState> = listed.iter().map(|t| fresh(t.share)).collect();
        // One further place for tenants that the settings do not list, however many they are.
        tenants.push(fresh(
            listed.iter().map(|t| t.share).fold(f64::INFINITY, f64::min),
        ));
        Admission {
            tenants,
            cycle_start: now,
            ..Admission::default()
        }
    }
}
