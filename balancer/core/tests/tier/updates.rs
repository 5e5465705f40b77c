//! Which updates of the tier count.
use crate::common::tier::*;
use crate::set_demand;
use balancer_core::*;

/// The same update with capacity for hardly anything, so much older.
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
fn updates_that_do_not_count_change_nothing() {
    let play = |filter: UpdateFilter| {
        let mut tier = TierSimulation::new(6, 3, settings(6), 3);
        tier.filter_update = filter;
        tier.slowness = Box::new(|server, at| if server == 1 && at < 9000.0 { 6.0 } else { 1.0 });
        tier.run(5000.0);
        tier.log.clear();
        set_demand(&mut tier, 1.5, 0.5);
        tier.run(8000.0);
        tier.log
    };
    let without = play(|_, _| None);
    assert!(
        without
            .iter()
            .any(|(_, a)| matches!(a, Action::Refuse { .. })),
        "nothing was refused"
    );
    let filters: [(&str, UpdateFilter); 5] = [
        ("of an instance that is cut off", |_, update| {
            Some(TierUpdate {
                joined: false,
                ..update
            })
        }),
        ("that stopped coming", |now, update| {
            (now < 3000.0).then_some(with_low_capacity(update, 0.0))
        }),
        ("that tell of what is too old", |_, update| {
            Some(with_low_capacity(update, 3000.0))
        }),
        ("with a place that is none", |_, update| {
            Some(TierUpdate {
                position: update.up,
                ..update
            })
        }),
        ("with a figure that is none", |_, mut update| {
            update
                .sums
                .iter_mut()
                .for_each(|s| s.load.capacity = f64::NAN);
            Some(update)
        }),
    ];
    for (name, filter) in filters {
        assert!(
            play(filter) == without,
            "updates {name} change what is decided"
        );
    }
    assert!(
        play(|_, update| Some(update)) != without,
        "the updates that count change nothing either"
    );
}
