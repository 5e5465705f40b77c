//! Goodput after an overload, and with inconsistent or failed instances.
use crate::common::tier::*;
use crate::{any_request, set_demand, steady_tier};

#[test]
fn goodput_recovers_within_three_seconds() {
    type Trigger = fn(&mut TierSimulation);
    let triggers: [(&str, Trigger); 5] = [
        ("a burst with a 30 % error rate", |tier| {
            tier.error_rate = Box::new(|_, at| {
                if (10_000.0..20_000.0).contains(&at) {
                    0.3
                } else {
                    0.0
                }
            });
            set_demand(tier, 1.25, 1.25);
            tier.run(10_000.0);
            set_demand(tier, 0.4, 0.4);
        }),
        ("errors from all servers", |tier| {
            tier.error_rate =
                Box::new(|_, at| f64::from(u8::from((10_000.0..15_000.0).contains(&at))));
            tier.run(5000.0);
        }),
        ("a burst of 2.5 times the capacity", |tier| {
            set_demand(tier, 1.25, 1.25);
            tier.run(5000.0);
            set_demand(tier, 0.4, 0.4);
        }),
        ("half of the servers are slow", |tier| {
            tier.slowness = Box::new(|server, at| {
                if server % 2 == 0 && at < 15_000.0 {
                    5.0
                } else {
                    1.0
                }
            });
            tier.run(5000.0);
        }),
        ("no server responds", |tier| {
            tier.slowness = Box::new(|_, at| {
                if (10_000.0..13_000.0).contains(&at) {
                    f64::INFINITY
                } else {
                    1.0
                }
            });
            tier.run(3000.0);
        }),
    ];
    for (instances, seed) in [(12, 1), (24, 2), (96, 3)] {
        for (name, trigger) in triggers {
            let mut tier = steady_tier(instances, seed);
            trigger(&mut tier);
            assert_recovers(&mut tier, &format!("{instances} instances, {name}"));
        }
    }
}

/// Checks that there were few retries during the overload, and that goodput recovers soon after it.
fn assert_recovers(tier: &mut TierSimulation, name: &str) {
    let over = tier.now;
    // Instances react only once the sums show the overload, and have some retry budget saved up by then.
    let during = || tier.sends.iter().filter(|send| send.at > 12_000.0);
    let all = during().count() as f64;
    let first_attempts = during().filter(|send| send.attempt == 0).count() as f64;
    assert!(
        all < 1.1 * first_attempts + 100.0,
        "{name}: {:.3} attempts per request",
        all / first_attempts
    );
    if (tier.error_rate)(0, tier.now - 1.0) == 1.0 {
        let sends = tier.sends.iter();
        let retries = sends.filter(|send| send.at > over - 1000.0 && send.attempt > 0);
        assert_eq!(
            retries.count(),
            0,
            "{name}: retries at a tier that fails as a whole"
        );
    }
    tier.run(8000.0);
    let goodput = tier.goodput(over + 3000.0, over + 8000.0, any_request);
    let back = goodput / (0.8 * tier.capacity());
    assert!(
        back > 0.95,
        "{name}: goodput recovered to {back:.2} of demand"
    );
}

#[test]
fn goodput_survives_disagreement_partitions_and_stopped_instances() {
    type Fault = fn(&mut TierSimulation, i32);
    let faults: [(&str, f64, Fault); 4] = [
        // Instances adapt, so that the disagreement must be renewed every second to stay at a factor of four or more.
        ("in disagreement", 0.9, |tier, _| {
            (0..tier.instances.len()).for_each(|instance| {
                tier.scale_learned_capacity(instance, if instance % 2 == 0 { 1.26 } else { 0.8 })
            });
        }),
        ("partitioned, every third", 0.95, |tier, _| {
            (0..tier.instances.len())
                .for_each(|instance| tier.instances[instance].connected = instance % 3 != 0);
        }),
        ("partitioned, two of them", 0.95, |tier, _| {
            (5..7).for_each(|instance| tier.instances[instance].connected = false);
        }),
        ("stopped, seven in ten", 0.95, |tier, second| {
            if second == 3 {
                tier.kill(|instance| instance % 10 < 7);
            }
        }),
    ];
    for (name, min_served, fault) in faults {
        let mut tier = steady_tier(24, 1);
        set_demand(&mut tier, 1.6, 0.4);
        for second in 0..12 {
            fault(&mut tier, second);
            tier.run(1000.0);
        }
        let (from, to) = (tier.now - 6000.0, tier.now);
        let (all, within_share) = (
            tier.goodput(from, to, any_request) / tier.capacity(),
            tier.served_part(from, to, 1),
        );
        assert!(
            all > 0.95,
            "instances {name}: goodput is {all:.2} of the servers' capacity"
        );
        assert!(
            within_share > min_served,
            "instances {name}: {within_share:.2} served of the tenant within its share"
        );
    }
}
