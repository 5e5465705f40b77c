//! Tier-wide load shedding: all instances shed the same requests of tenants over their tier-wide limit.
use super::limits::{limits, RESERVATION};
use crate::{interface::*, state::*};

/// Standard errors of the sums by which a tenant must exceed its limit.
const STANDARD_ERRORS: f64 = 2.0;
/// Multiple of the capacity for which tier-wide limits are computed, and up to which requests within them are admitted.
/// Above one, as learned capacity grows only if it is exceeded; each instance's own admission still bounds the load.
pub(super) const CAPACITY_MARGIN: f64 = 1.25;
/// Maximum fraction of a tenant's requests that is shed; the rest shows when capacity becomes available.
const MAX_SHED: f64 = 0.95;
/// Minimum excess for shedding.
const MIN_EXCESS: f64 = 0.005;
/// Adaptation rate of the retry multiple, per request.
const RETRY_GAIN: f64 = 0.02;
/// Maximum factor by which retries of shed requests raise the request rate.
const MAX_RETRY_MULTIPLE: f64 = 8.0;

impl LoadShedding {
    /// Updates the excess of each tenant over its limit in the tier. Demand within the configured quotas is no excess; if
    /// the capacity is lower, each instance's own admission refuses the surplus.
    pub(crate) fn handle_sums(
        &mut self,
        sums: Option<&TierSums>,
        total_quota: f64,
        tenants: &[TenantState],
    ) {
        self.excess.fill(0.0);
        let Some(sums) = sums.filter(|sums| sums.load.tenants.len() == tenants.len()) else {
            return;
        };
        let loads = &sums.load.tenants;
        let demands: Vec<f64> = loads.iter().map(|load| load.demand).collect();
        let weight = |(tenant, &demand): (&TenantState, &f64)| {
            if demand > 0.0 {
                tenant.weight
            } else {
                0.0
            }
        };
        let weights: Vec<f64> = tenants.iter().zip(&demands).map(weight).collect();
        let capacity = (sums.load.capacity * CAPACITY_MARGIN).max(total_quota);
        let limits = limits(capacity, &demands, &weights, RESERVATION);
        let total_demand = demands.iter().sum::<f64>();
        for (excess, (limit, &demand)) in self.excess.iter_mut().zip(limits.iter().zip(&demands)) {
            if demand <= 0.0 {
                continue;
            }
            // The relative error is larger for a tenant with a smaller part of the total.
            let margin = 1.0 + STANDARD_ERRORS * sums.error * (total_demand / demand).sqrt();
            *excess = (1.0 - limit * margin / demand).clamp(0.0, MAX_SHED);
        }
    }

    /// Decides whether a request is shed. Classes with the lowest value per response time are shed first, and within a
    /// class requests with the lowest tie. Values are rounded to powers of two, so that differences in learned response
    /// times do not change the order between instances.
    pub(crate) fn decide(
        &mut self,
        tenant: usize,
        request: &Request,
        classes: &[Class],
    ) -> SheddingVerdict {
        self.record_request(tenant, request.class);
        let pass_fraction = 1.0 - self.excess[tenant];
        if self.excess.iter().all(|&excess| excess < MIN_EXCESS) {
            return SheddingVerdict::NoLevel;
        }
        if pass_fraction > 1.0 - MIN_EXCESS {
            return SheddingVerdict::WithinLimit;
        }
        let value = |class: usize| {
            let response_time = self.response_times[class].max(1.0);
            (classes[class].value / response_time).log2().round()
        };
        let key = ClassKey {
            class: request.class,
            tie: request.tie,
        };
        let before = self.shed_before(tenant, key, value);
        let is_shed = before < (1.0 - self.retry_multiple * pass_fraction).min(MAX_SHED);
        // Shed requests are retried with the same tie, so that most incoming requests are below the level: adapt it until
        // the intended fraction passes.
        let passed = f64::from(u8::from(!is_shed));
        let deviation = 1.0 - passed / pass_fraction;
        let multiple = self.retry_multiple * (1.0 + RETRY_GAIN * deviation);
        self.retry_multiple = multiple.clamp(1.0, MAX_RETRY_MULTIPLE);
        if is_shed {
            SheddingVerdict::BelowLevel
        } else {
            SheddingVerdict::AboveLevel
        }
    }
}
