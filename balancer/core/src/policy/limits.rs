//! The published algorithm for tenant limits, and the length of its cycle. Stateless.
use crate::interface::Millis;

/// Length of a cycle. The published 10 s are too slow for a learned capacity.
pub(super) const CYCLE: Millis = 1000.0;
/// Fraction of a tenant's default limit that is never lent (as published).
pub(super) const RESERVATION: f64 = 0.1;

/// Computes a limit for each tenant from the last cycle's demand, lending unused capacity to tenants that need it.
///
/// `weights` are the tenants' shares of the capacity (equal as published). Limits are never negative and add up to
/// at most `capacity`, except for rounding.
pub fn limits(capacity: f64, demands: &[f64], weights: &[f64], reservation: f64) -> Vec<f64> {
    let total_weight: f64 = weights.iter().sum();
    let share = |weight: f64| {
        if total_weight > 0.0 {
            weight / total_weight
        } else {
            1.0 / weights.len() as f64
        }
    };
    let defaults: Vec<f64> = weights
        .iter()
        .map(|&weight| capacity * share(weight))
        .collect();
    let needed: Vec<f64> = demands
        .iter()
        .zip(&defaults)
        .map(|(&demand, &default)| demand.max(default * reservation))
        .collect();
    let gaps: Vec<f64> = defaults
        .iter()
        .zip(&needed)
        .map(|(default, needed)| default - needed)
        .collect();
    let deficit: f64 = gaps.iter().filter(|&&gap| gap < 0.0).map(|gap| -gap).sum();
    let surplus: f64 = gaps.iter().filter(|&&gap| gap > 0.0).sum();
    let limit = |tenant: usize| {
        let gap = gaps[tenant];
        if gap <= 0.0 {
            defaults[tenant] + (-gap).min(fraction(-gap, deficit) * surplus)
        } else {
            needed[tenant] + fraction(gap, surplus) * (surplus - deficit).max(0.0)
        }
    };
    (0..demands.len()).map(limit).collect()
}

/// A value as a fraction of a total; zero if the total is zero.
fn fraction(value: f64, total: f64) -> f64 {
    if total > 0.0 {
        value / total
    } else {
        0.0
    }
}
