//! Decides the level up to which all instances of a tier shed alike: what is over a tenant's limit there.
use super::limits::{limits, RESERVATION};
use crate::{interface::*, state::*};

/// A tenant must be over its limit by so many standard errors of the sums.
const STANDARD_ERRORS: f64 = 2.0;
/// The limits are those of this multiple of the capacity, and so far may tenants go beyond it who are within theirs:
/// each instance's own admission holds back what is not there, and capacity grows only by what is tried.
pub(super) const CAPACITY_MARGIN: f64 = 1.25;
/// The most of a tenant's requests that is shed: what still passes shows when there is capacity.
const MAX_SHED: f64 = 0.95;
/// Excess below which nothing is shed.
const MIN_EXCESS: f64 = 0.005;
/// How fast an instance learns, per request, that shed ones are retried.
const RETRY_GAIN: f64 = 0.02;
/// How much more often requests come because of that, at most.
const MAX_RETRY_MULTIPLE: f64 = 8.0;

impl LoadShedding {
    /// Updates the excess of each tenant by the published limits over the tier. What keeps to the stated quotas is no
    /// excess: where there is no capacity for it, that is for each instance's own admission.
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
            // The smaller a part of the total, the less certain it is.
            let margin = 1.0 + STANDARD_ERRORS * sums.error * (total_demand / demand).sqrt();
            *excess = (1.0 - limit * margin / demand).clamp(0.0, MAX_SHED);
        }
    }

    /// Judges a request. First is shed what earns least for its work, in doublings, so that what instances learned
    /// apart makes no two orders; then what has the lowest tie.
    pub(crate) fn judge(
        &mut self,
        tenant: usize,
        request: &Request,
        classes: &[Class],
    ) -> SheddingVerdict {
        self.record_request(tenant, request.class);
        let passes = 1.0 - self.excess[tenant];
        if self.excess.iter().all(|&excess| excess < MIN_EXCESS) {
            return SheddingVerdict::NoLevel;
        }
        if passes > 1.0 - MIN_EXCESS {
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
        let is_shed = before < (1.0 - self.retry_multiple * passes).min(MAX_SHED);
        // Shed requests are retried with their ties, so that most of what comes is below the level: it is put
        // where as many pass as should.
        let passed = f64::from(u8::from(!is_shed));
        let deviation = 1.0 - passed / passes;
        let multiple = self.retry_multiple * (1.0 + RETRY_GAIN * deviation);
        self.retry_multiple = multiple.clamp(1.0, MAX_RETRY_MULTIPLE);
        if is_shed {
            SheddingVerdict::BelowLevel
        } else {
            SheddingVerdict::AboveLevel
        }
    }
}
