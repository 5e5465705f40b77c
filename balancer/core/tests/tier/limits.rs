//! Limits that all instances apply alike.
use crate::common::tier::*;
use crate::{any, calm, set_demand};
use balancer_core::*;

/// The part of all instances that refuses a request with this tie.
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
fn a_tenant_over_its_limit_is_refused_the_same_requests_by_all_instances() {
    for (seed, instances) in [(1, 12), (2, 24), (3, 96)] {
        let mut tier = calm(instances, seed);
        set_demand(&mut tier, 1.6, 0.4);
        tier.run(15_000.0);
        let (from, to, can) = (tier.now - 12_000.0, tier.now, tier.capacity());
        let all = tier.goodput(from, to, any) / can;
        assert!(
            all > 0.95,
            "{instances} instances: {all:.2} of what the servers can do is answered in time"
        );
        let beside = tier.served_part(from, to, 1);
        assert!(
            beside > 0.97,
            "{instances} instances: the tenant within its share gets {beside:.2}"
        );
        let class = |class| {
            tier.goodput(from, to, |request| {
                (request.tenant, request.class) == (0, class)
            }) / can
        };
        let (cheap, dear) = (class(0), class(1));
        assert!(
            dear > 0.4 && dear > 5.0 * cheap,
            "{instances} instances: {dear:.2} of the dear, {cheap:.2} of the cheap"
        );
        // What is refused by one instance is so by the next.
        let same = (0..20)
            .map(|k| refusals(&mut tier, 0, (2 * k + 1) * (u64::MAX / 40)))
            .sum::<f64>()
            / 20.0;
        assert!(
            same > 0.95,
            "{instances} instances: {same:.2} refuse what goes first"
        );
        let last = (0..20)
            .map(|k| refusals(&mut tier, 1, u64::MAX - k))
            .sum::<f64>()
            / 20.0;
        assert!(
            last < 0.4,
            "{instances} instances: {last:.2} refuse what goes last"
        );
    }
}

#[test]
fn refused_clients_are_advised_to_retry_spread_over_what_they_heed() {
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
            "more than {max} ms"
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
            "of {max} ms one tenth is given to {fullest:.2} of them"
        );
    }
}
