//! The host omits from tier updates whatever the operator has disabled; this must have the same effect as no updates.
mod common;

use balancer_core::*;
use common::*;

/// Runs phases of overload, late responses, errors and a zone without responses, with an update every 100 ms.
fn run_with_updates(update: impl Fn(usize) -> Option<TierUpdate>) -> Vec<Action> {
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
fn tier_updates_without_content_change_nothing() {
    let without_updates = run_with_updates(|_| None);
    let refused = without_updates
        .iter()
        .filter(|a| matches!(a, Action::Refuse { .. }))
        .count();
    let zone_ejected = without_updates
        .iter()
        .any(|a| matches!(a, Action::Log(line) if line.contains("ejected")));
    assert!(
        refused > 50 && zone_ejected,
        "the run must refuse requests and eject a zone: {refused} refused, zone ejected: {zone_ejected}"
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
        // Includes a period in which the instance is partitioned.
        let update = |step: usize| TierUpdate {
            live_instances: 1,
            index: 0,
            connected: step % 50 < 30,
            sums: sums.clone(),
            evidence: vec![],
        };
        let with_updates = run_with_updates(|step| Some(update(step)));
        let differs = without_updates
            .iter()
            .zip(&with_updates)
            .position(|(a, b)| a != b);
        assert!(
            without_updates == with_updates,
            "{sums:?}: differs from {differs:?}"
        );
    }
}
