//! What the host leaves out of an update, since the operator has switched it off, must be as if nobody had observed it.
mod common;

use balancer_core::*;
use common::*;

/// Overload, late responses, errors and a zone that times out, with an update every 100 ms.
fn day(update: impl Fn(usize) -> Option<TierUpdate>) -> Vec<Action> {
    let settings = Settings {
        classes: vec![Class {
            late_value: 0.5,
            ..class(Effect::Free)
        }],
        tenants: tenants(&[0.5, 0.5], 80.0),
        balancers: 5,
        cancel: true,
        max_retry_after: 1000.0,
        ..Settings::default()
    };
    let endpoints = (1..=8)
        .map(|id| Endpoint {
            zone: (id % 2) as u16,
            ..endpoint(id)
        })
        .collect();
    let mut harness = Harness::new(settings, 4, endpoints);
    for step in 0..160 {
        if let Some(update) = update(step) {
            harness.handle(Event::Tier(Box::new(update)));
        }
        let per_s = if step / 40 == 1 { 200.0 } else { 60.0 };
        harness.traffic(100.0, per_s, &[0, 0, 0, 1], &|id| match (step / 40, id.0) {
            (1, _) => Some((Ending::Ok, 400.0)),
            (2, 1..=2) => Some((Ending::Error, 5.0)),
            (2, 3) => Some((Ending::ConnectFailed, 1.0)),
            (3, id) if id % 2 == 1 => None,
            _ => Some((Ending::Ok, 40.0)),
        });
    }
    harness.log
}

#[test]
fn an_update_without_what_is_switched_off_changes_nothing() {
    let alone = day(|_| None);
    let refused = alone
        .iter()
        .filter(|a| matches!(a, Action::Refuse { .. }))
        .count();
    let left = alone
        .iter()
        .any(|a| matches!(a, Action::Log(line) if line.contains("ejected")));
    assert!(
        refused > 50 && left,
        "a day on which much is decided: {refused} refused, {left}"
    );
    let none = TierLoad {
        tenants: vec![TenantLoad::default(); 3],
        ..TierLoad::default()
    };
    let sums = Some(TierSums {
        load: none,
        age: 50.0,
        error: 0.0,
    });
    for sums in [None, sums] {
        // Cut off for a while as well.
        let update = |step: usize| TierUpdate {
            up: 1,
            position: 0,
            joined: step % 50 < 30,
            sums: sums.clone(),
            evidence: vec![],
        };
        let with_updates = day(|step| Some(update(step)));
        let differs = alone.iter().zip(&with_updates).position(|(a, b)| a != b);
        assert!(alone == with_updates, "{sums:?}: from {differs:?} on");
    }
}
