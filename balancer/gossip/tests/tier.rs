//! Guarantees of the protocol under loss and faults, for tiers of replicas on a simulated network with fixed seeds.
mod common;
use balancer_gossip::{Load, Observations, Subject, TenantLoad, SUPPORTED_VERSIONS};
use common::{Net, Sim, LOSSY};

/// The observations of a replica; the standard deviation of the demand between replicas is 30%.
fn observations(position: u16, level: f64) -> Observations {
    let demand = level * (0.48 + 1.04 * f64::from(position * 37 % 101) / 100.0);
    let tenant = |at: u16| {
        let share = f64::from(at + 1) / 55.0;
        TenantLoad {
            demand: demand * share,
            calls: demand * share / 10.0,
            client_connections: 3.0,
        }
    };
    let tenants = (0..10).map(tenant).collect();
    let load = Load {
        demand,
        capacity: 2.0 * demand,
        first_attempts: demand,
        retries: 0.0,
        tenants,
    };
    Observations {
        load,
        ..Observations::default()
    }
}

/// Runs the tier while each replica reports its observations four times a second.
fn run_observing(sim: &mut Sim, span: f64, level: f64) {
    let end = sim.now + span;
    while sim.now < end {
        for at in sim.alive() {
            let position = sim.nodes[at].position;
            sim.observe(at, observations(position, level));
        }
        sim.run(250.0);
    }
}

/// The share of the running replicas that know `up` members as up.
fn agreeing_share(sim: &mut Sim, up: u32) -> f64 {
    let alive = sim.alive();
    let agreeing = alive
        .iter()
        .filter(|at| sim.tier_state(**at).up == up)
        .count();
    agreeing as f64 / alive.len() as f64
}

#[test]
fn failures_and_sums_spread_in_time_within_budget() {
    for n in [10, 60, 300] {
        let mut sim = Sim::new(n, 9, LOSSY, u64::from(n));
        for position in 0..n {
            sim.start(position, 1_000, SUPPORTED_VERSIONS);
        }
        run_observing(&mut sim, 3_000.0, 100.0);
        assert!(
            agreeing_share(&mut sim, n.into()) >= 0.99,
            "{n} replicas start"
        );
        run_observing(&mut sim, 9_000.0, 100.0);
        let sent = |sim: &mut Sim| {
            (0..usize::from(n))
                .map(|at| sim.with(at, |peers, _| peers.counts().sent_bytes))
                .sum::<u64>()
        };
        let before = sent(&mut sim);
        run_observing(&mut sim, 4_000.0, 200.0);
        let bytes_per_second = (sent(&mut sim) - before) as f64 / f64::from(n) / 4.0;
        assert!(
            bytes_per_second < 2_750.0,
            "{n} replicas: {bytes_per_second} bytes a second"
        );
        assert!(sim.longest <= 256);
        let actual_demand: f64 = (0..n)
            .map(|position| observations(position, 200.0).load.demand)
            .sum();
        for at in 0..usize::from(n) {
            let sums = sim.tier_state(at).sums.unwrap_or_else(|| {
                panic!(
                    "{n} replicas: {at} received too little: {:?}",
                    sim.tier_state(at)
                )
            });
            let relative_error = (sums.load.demand / actual_demand - 1.0).abs();
            // Six times the stated standard error, so that none of the 300 replicas fails the test by chance.
            assert!(
                relative_error <= 6.0 * sums.error + 0.005,
                "{n} replicas: relative error {relative_error}, stated {}",
                sums.error
            );
        }
        sim.kill(3);
        run_observing(&mut sim, 2_000.0, 200.0);
        let share = agreeing_share(&mut sim, u32::from(n) - 1);
        assert!(share >= 0.99, "{n} replicas, one killed: {share} know it");
    }
}

#[test]
fn evidence_reaches_all_quickly_and_expires_unless_renewed() {
    let mut sim = Sim::tier(60, 9, LOSSY, 5);
    let subject = Subject::Upstream(77);
    let with_evidence = Observations {
        against: vec![subject],
        ..observations(0, 100.0)
    };
    sim.observe(0, with_evidence);
    sim.run(500.0);
    for at in 1..60 {
        let state = sim.tier_state(at);
        let evidence = state.evidence.first().expect("evidence");
        assert_eq!(
            (evidence.subject, evidence.observers, evidence.zones),
            (subject, 1, 1)
        );
        assert!(
            evidence.age >= 0.0 && evidence.age < 700.0,
            "{}",
            evidence.age
        );
    }
    sim.observe(
        0,
        Observations {
            cleared: vec![subject],
            ..observations(0, 100.0)
        },
    );
    sim.run(500.0);
    let cleared = |state: balancer_gossip::TierState| {
        state
            .evidence
            .first()
            .map(|evidence| (evidence.observers, evidence.cleared))
    };
    assert!(
        (1..60).all(|at| cleared(sim.tier_state(at)) == Some((0, 1))),
        "withdrawn everywhere"
    );
    sim.run(3_200.0);
    assert!(
        (0..60).all(|at| sim.tier_state(at).evidence.is_empty()),
        "expired everywhere"
    );
}

#[test]
fn loss_alone_causes_no_failures_in_ten_minutes() {
    let net = Net {
        loss: 0.1,
        delay: (0.2, 5.0),
        repeat: 0.02,
        late: (0.002, 4_000.0),
    };
    let mut sim = Sim::tier(60, 9, net, 11);
    sim.run(600_000.0);
    let failed: u64 = (0..60)
        .map(|at| sim.with(at, |peers, _| peers.counts().failed))
        .sum();
    assert_eq!(failed, 0);
    assert_eq!(agreeing_share(&mut sim, 60), 1.0);
}

/// Runs until a condition holds, and returns how long that took.
fn run_until(sim: &mut Sim, max: f64, mut holds: impl FnMut(&mut Sim) -> bool) -> f64 {
    let start = sim.now;
    while !holds(sim) {
        assert!(sim.now - start < max, "not within {max} ms");
        sim.run(100.0);
    }
    sim.now - start
}

#[test]
fn partitioned_halves_report_isolation_and_heal() {
    let mut sim = Sim::tier(24, 9, LOSSY, 21);
    run_observing(&mut sim, 1_000.0, 100.0);
    sim.is_partitioned = Box::new(|from, to| (from < 12) != (to < 12));
    run_observing(&mut sim, 6_000.0, 100.0);
    for at in 0..24 {
        let state = sim.tier_state(at);
        assert!(
            !state.is_joined && state.sums.is_none(),
            "half of the tier is isolated: {state:?}"
        );
        assert_eq!(state.up, 12);
    }
    // One replica of each half is killed, and one of them restarts without state.
    sim.kill(3);
    sim.kill(20);
    run_observing(&mut sim, 4_000.0, 100.0);
    sim.restart(20, 1);
    sim.is_partitioned = Box::new(|_, _| false);
    let took = run_until(&mut sim, 8_000.0, |sim| {
        agreeing_share(sim, 23) == 1.0 && sim.tier_state(0).is_joined
    });
    println!("healed in {took} ms");
}

#[test]
fn tier_recovers_from_asymmetric_partition_pause_and_restart() {
    let mut sim = Sim::tier(24, 9, LOSSY, 31);
    // One replica can't reach another, which can reach it: indirect probes confirm that it is alive.
    sim.is_partitioned = Box::new(|from, to| (from, to) == (1, 2));
    sim.run(20_000.0);
    assert_eq!(agreeing_share(&mut sim, 24), 1.0);
    // A replica that receives nothing reports itself as isolated, and does not cause others to suspect each other.
    sim.is_partitioned = Box::new(|_, to| to == 5);
    sim.run(6_000.0);
    assert!(!sim.tier_state(5).is_joined);
    let others: Vec<u32> = (0..24)
        .filter(|at| *at != 5)
        .map(|at| sim.tier_state(at).up)
        .collect();
    assert!(others.iter().all(|up| *up == 23), "{others:?}");
    sim.is_partitioned = Box::new(|_, _| false);
    run_until(&mut sim, 8_000.0, |sim| agreeing_share(sim, 24) == 1.0);
    // A replica is paused for 20 s; when it resumes, outdated datagrams cause no failures.
    sim.pause(7, 20_000.0);
    sim.run(19_900.0);
    let failed = |sim: &mut Sim, at: usize| sim.with(at, |peers, _| peers.counts().failed);
    let before = failed(&mut sim, 7);
    run_until(&mut sim, 5_000.0, |sim| agreeing_share(sim, 24) == 1.0);
    assert_eq!(
        failed(&mut sim, 7),
        before,
        "the paused replica must not declare others failed"
    );
    // A member restarts under a lower incarnation than the others know.
    sim.restart(9, 3);
    sim.run(3_000.0);
    assert_eq!(agreeing_share(&mut sim, 24), 1.0);
    // A member that leaves is suspected by no one, and the remaining tier is joined.
    let suspected = |sim: &mut Sim| {
        (0..9)
            .map(|at| sim.with(at, |peers, _| peers.counts().suspected))
            .sum::<u64>()
    };
    let before = suspected(&mut sim);
    sim.with(11, |peers, now| peers.leave(now));
    sim.kill(11);
    run_until(&mut sim, 700.0, |sim| agreeing_share(sim, 23) == 1.0);
    assert_eq!(suspected(&mut sim), before);
    assert!(sim.tier_state(0).is_joined);
}

#[test]
fn tier_survives_growth_and_loss_of_most_members() {
    let mut sim = Sim::new(60, 9, LOSSY, 41);
    for position in 0..3 {
        sim.start(position, 1_000, SUPPORTED_VERSIONS);
    }
    sim.run(6_000.0);
    assert_eq!(agreeing_share(&mut sim, 3), 1.0);
    assert!(sim.tier_state(0).is_joined);
    for position in 3..60 {
        sim.start(position, 1_000, SUPPORTED_VERSIONS);
    }
    run_until(&mut sim, 4_000.0, |sim| agreeing_share(sim, 60) == 1.0);
    sim.run(8_000.0);
    (0..42).for_each(|at| sim.kill(at));
    sim.run(3_000.0);
    let joined = sim
        .alive()
        .into_iter()
        .filter(|at| sim.tier_state(*at).is_joined)
        .count();
    assert_eq!(
        joined, 0,
        "the loss of 70% can't be distinguished from a partition"
    );
    run_until(&mut sim, 12_000.0, |sim| agreeing_share(sim, 18) == 1.0);
    // All restart at once without state.
    (0..42).for_each(|at| sim.restart(at, 2_000));
    run_until(&mut sim, 6_000.0, |sim| {
        agreeing_share(sim, 60) == 1.0 && sim.tier_state(50).is_joined
    });
}

#[test]
fn duplicate_replica_is_reported_and_disrupts_no_other() {
    let mut sim = Sim::tier(12, 9, LOSSY, 51);
    let duplicate = sim.start(4, 5_000, SUPPORTED_VERSIONS);
    let mut notifications = Vec::new();
    let mut lowest_up = u32::MAX;
    for _ in 0..100 {
        sim.run(200.0);
        for at in [4, duplicate] {
            notifications.extend(std::iter::from_fn(|| {
                sim.with(at, |peers, _| peers.poll_notification())
            }));
        }
        lowest_up = lowest_up.min(sim.tier_state(0).up);
    }
    let reports = notifications
        .iter()
        .filter(|notification| {
            notification
                .0
                .contains("another replica uses this replica's position")
        })
        .count();
    assert!((1..=2).contains(&reports), "{notifications:?}");
    assert!(lowest_up >= 11, "no other member is declared failed");
}
