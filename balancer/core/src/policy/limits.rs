//! The published rule of limits, and the cycle it works in. Owns no state.
use crate::interface::Millis;

/// Length of a cycle. The published 10 s is too slow for capacity that is learned instead of benchmarked.
pub(super) const CYCLE: Millis = 1000.0;
/// Part of a tenant's default that is never lent (as published).
pub(super) const RESERVATION: f64 = 0.1;

/// A new limit for each tenant from last cycle's demand, lending what others leave unused.
///
/// `weights` are the tenants' parts of the capacity (all alike as published). Limits are never negative
/// and sum to `capacity` at most, up to rounding.
pub fn limits(capacity: f64, demands: &[f64], weights: &[f64], reservation: f64) -> Vec<f64> {
    let total_weight: f64 = weights.iter().sum();
    let part = |weight: f64| {
        if total_weight > 0.0 {
            weight / total_weight
        } else {
            1.0 / weights.len() as f64
        }
    };
    let defaults: Vec<f64> = weights
        .iter()
        .map(|&weight| capacity * part(weight))
        .collect();
    let wanted: Vec<f64> = demands
        .iter()
        .zip(&defaults)
        .map(|(&demand, &default)| demand.max(default * reservation))
        .collect();
    let gaps: Vec<f64> = defaults
        .iter()
        .zip(&wanted)
        .map(|(default, wanted)| default - wanted)
        .collect();
    let deficit: f64 = gaps.iter().filter(|&&gap| gap < 0.0).map(|gap| -gap).sum();
    let surplus: f64 = gaps.iter().filter(|&&gap| gap > 0.0).sum();
    let limit = |tenant: usize| {
        let gap = gaps[tenant];
        if gap <= 0.0 {
            defaults[tenant] + (-gap).min(fraction(-gap, deficit) * surplus)
        } else {
            wanted[tenant] + fraction(gap, surplus) * (surplus - deficit).max(0.0)
        }
    };
    (0..demands.len()).map(limit).collect()
}

/// A value as a part of a total; zero of nothing.
fn fraction(value: f64, total: f64) -> f64 {
    if total > 0.0 {
        value / total
    } else {
        0.0
    }
}
