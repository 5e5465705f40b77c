//! Tier-wide limits, applied alike by all instances.
use crate::common::tier::*;
use crate::{any_request, set_demand, steady_tier};
use balancer_core::*;

/// Fraction of the instances that refuse a request with this tie.
fn refusals(tier: &mut TierSimulation, class: usize, tie: u64) -> f64 {
    let started_at = tier.now;
    let before = tier.responses.len();
    (0..tier.instances.len()).for_each(|instance| {
        tier.request_at(
            instance,
            ClientRequest {
                class,
                tenant: 0,
                tie,
                started_at,
                retries: 9,
            },
        )
    });
    let refused = tier.responses[before..]
        .iter()
        .filter(|response| !response.served && response.request.tie == tie)
        .count();
    tier.run(200.0);
    refused as f64 / tier.instances.len() as f64
}

#[test]
fn all_instances_shed_the_same_requests() {
    for (seed, instances) in [(1, 12), (2, 24), (3, 96)] {
        let mut tier = steady_tier(instances, seed);
        set_demand(&mut tier, 1.6, 0.4);
        tier.run(15_000.0);
        let (from, to, capacity) = (tier.now - 12_000.0, tier.now, tier.capacity());
        let all = tier.goodput(from, to, any_request) / capacity;
        assert!(
            all > 0.95,
            "{instances} instances: goodput is {all:.2} of the servers' capacity"
        );
        let within_share = tier.served_part(from, to, 1);
        assert!(
            within_share > 0.97,
            "{instances} instances: {within_share:.2} served of the tenant within its share"
        );
        let class = |class| {
            tier.goodput(from, to, |request| {
                (request.tenant, request.class) == (0, class)
            }) / capacity
        };
        let (low_value, high_value) = (class(0), class(1));
        assert!(
            high_value > 0.4 && high_value > 5.0 * low_value,
            "{instances} instances: goodput {high_value:.2} of high value, {low_value:.2} of low value"
        );
        // All instances refuse the same requests.
        let same = (0..20)
            .map(|k| refusals(&mut tier, 0, (2 * k + 1) * (u64::MAX / 40)))
            .sum::<f64>()
            / 20.0;
        assert!(
            same > 0.95,
            "{instances} instances: {same:.2} refuse the requests that are shed first"
        );
        let last = (0..20)
            .map(|k| refusals(&mut tier, 1, u64::MAX - k))
            .sum::<f64>()
            / 20.0;
        assert!(
            last < 0.4,
            "{instances} instances: {last:.2} refuse the requests that are shed last"
        );
    }
}

#[test]
fn retry_advice_is_spread_over_its_range() {
    for max in [0.0, 800.0, 6000.0] {
        let mut tier = TierSimulation::new(
            12,
            6,
            Settings {
                max_retry_after: max,
                ..settings(12)
            },
            1,
        );
        set_demand(&mut tier, 1.5, 1.5);
        tier.run(6000.0);
        let advised: Vec<f64> = tier
            .responses
            .iter()
            .filter(|response| !response.served && response.at > 3000.0)
            .map(|response| response.retry_after)
            .collect();
        assert!(
            advised.len() > 1000 && advised.iter().all(|&after| after <= max),
            "too few refusals, or advice above {max} ms"
        );
        let bins = (1..=10).map(|k| {
            advised
                .iter()
                .filter(|&&a| a > max * 0.1 * f64::from(k - 1) && a <= max * 0.1 * f64::from(k))
                .count()
        });
        let fullest = bins.max().unwrap_or(0) as f64 / advised.len() as f64;
        assert!(
            fullest < 0.25,
            "{fullest:.2} of the advised delays fall into the same tenth of {max} ms"
        );
    }
}
