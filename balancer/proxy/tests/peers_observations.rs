//! What decisions take from the observations of other replicas, by the options that are disabled.
use balancer_core::TierUpdate;
use balancer_gossip as peers;
use balancer_proxy::{options::PeerOptions, tier_update};

/// A tier state with every part present.
fn complete_state() -> peers::TierState {
    let tenants = vec![peers::TenantLoad {
        demand: 5.0,
        calls: 6.0,
        client_connections: 7.0,
    }];
    let load = peers::Load {
        demand: 1.0,
        capacity: 2.0,
        first_attempts: 3.0,
        retries: 4.0,
        tenants,
    };
    let sums = Some(peers::Sums {
        load,
        age: 10.0,
        heard: 3,
        error: 0.5,
    });
    let subject = peers::Subject::Zone(1);
    let evidence = vec![peers::Evidence {
        subject,
        observers: 2,
        zones: 2,
        cleared: 0,
        age: 20.0,
    }];
    peers::TierState {
        up: 4,
        position: 3,
        version: 2,
        epoch: 9,
        is_joined: true,
        sums,
        evidence,
    }
}

#[test]
fn disabled_observations_are_not_used() {
    let complete = complete_state();
    let used_with = |shed, shares, trials, verdicts| {
        let may = PeerOptions {
            on: true,
            max_version: 2,
            use_load_sums: shed,
            use_tenant_sums: shares,
            use_membership: trials,
            use_evidence: verdicts,
        };
        let TierUpdate {
            live_instances,
            index,
            connected,
            sums,
            evidence,
        } = tier_update(complete.clone(), &may);
        assert!(connected);
        let load = sums.map(|s| {
            (
                s.age,
                s.load.demand,
                s.load.tenants[0].demand,
                s.load.tenants[0].calls_in_flight,
            )
        });
        (live_instances, index, load, evidence.len())
    };
    assert_eq!(
        used_with(true, true, true, true),
        (4, 3, Some((10.0, 1.0, 5.0, 6.0)), 1)
    );
    assert_eq!(
        used_with(true, false, false, true),
        (1, 0, Some((10.0, 1.0, 5.0, 0.0)), 1)
    );
    assert_eq!(
        used_with(false, true, true, false),
        (4, 3, Some((10.0, 0.0, 0.0, 6.0)), 0)
    );
    assert_eq!(used_with(false, false, false, false), (1, 0, None, 0));
}
