//! Handling of invalid and outdated tier updates.
use crate::common::tier::*;
use crate::set_demand;
use balancer_core::*;

/// The update with a very low capacity, and with its age increased.
fn with_low_capacity(mut update: TierUpdate, age: f64) -> TierUpdate {
    if let Some(sums) = &mut update.sums {
        sums.load.capacity = 1.0;
        sums.load.tenants[0].demand = 1000.0;
        sums.age += age;
    }
    for evidence in &mut update.evidence {
        evidence.age += age;
    }
    update
}

#[test]
fn invalid_updates_change_nothing() {
    let run = |filter: UpdateFilter| {
        let mut tier = TierSimulation::new(6, 3, settings(6), 3);
        tier.filter_update = filter;
        tier.slowness = Box::new(|server, at| if server == 1 && at < 9000.0 { 6.0 } else { 1.0 });
        tier.run(5000.0);
        tier.log.clear();
        set_demand(&mut tier, 1.5, 0.5);
        tier.run(8000.0);
        tier.log
    };
    let without = run(|_, _| None);
    assert!(
        without
            .iter()
            .any(|(_, a)| matches!(a, Action::Refuse { .. })),
        "no request was refused"
    );
    let filters: [(&str, UpdateFilter); 5] = [
        ("of a partitioned instance", |_, update| {
            Some(TierUpdate {
                connected: false,
                ..update
            })
        }),
        ("that stopped arriving", |now, update| {
            (now < 3000.0).then_some(with_low_capacity(update, 0.0))
        }),
        ("that are outdated", |_, update| {
            Some(with_low_capacity(update, 3000.0))
        }),
        ("with an invalid index", |_, update| {
            Some(TierUpdate {
                index: update.live_instances,
                ..update
            })
        }),
        ("with an invalid number", |_, mut update| {
            update
                .sums
                .iter_mut()
                .for_each(|sums| sums.load.capacity = f64::NAN);
            Some(update)
        }),
    ];
    for (name, filter) in filters {
        assert!(run(filter) == without, "updates {name} change decisions");
    }
    assert!(
        run(|_, update| Some(update)) != without,
        "valid updates change no decision either"
    );
}
